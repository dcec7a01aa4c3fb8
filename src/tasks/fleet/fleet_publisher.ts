/** Publishes policy, targets and members from a control instance to others. */
import { randomBytes } from "node:crypto";
import {
  ChangeCounter,
  type ChangeSequence,
  fingerprintsOf,
  type FleetCommand,
  type FleetNotice,
  FleetRole,
  type FleetState,
} from "../../core/fleet/mod.ts";
import {
  isSameExceptVersions,
  type LoadedVersion,
  type RegisteredTarget,
  reportAt,
  type TargetRegistry,
  type TargetReport,
  TargetState,
} from "../../core/registry/mod.ts";
import type { FleetNode } from "./fleet_node.ts";
import { LEADER_WAIT_MS } from "./fleet_timing.ts";
import { PolicyPublisher } from "./policy_publisher.ts";
import {
  FOLLOWER_ROLES,
  LOG_ROLES,
  RosterPublisher,
} from "./roster_publisher.ts";
import { SentVersions } from "./sent_versions.ts";

/** Options of {@link FleetPublisher}. */
export interface FleetPublisherOptions {
  readonly node: FleetNode;
  readonly registry: TargetRegistry;
  readonly state: () => FleetState;
  /** Gets the term that this instance leads; undefined unless it leads. */
  readonly leadsTerm: () => number | undefined;
  readonly now: () => number;
}

const INCARNATION_BYTES = 4;
/** Interval at which an instance is sent all targets until it confirms them. */
const TARGETS_RESEND_NEW_MS = 300;
/** Interval at which reports that change nothing are forwarded. */
const FORWARD_INTERVAL_MS = 500;
/** Interval at which all targets are resent to an instance that missed a change. */
const TARGETS_RESEND_MS = 1_500;
/**
 * Time after which an instance has missed a change that it does not confirm:
 * it confirms changes by its heartbeat, once a second.
 */
const CONFIRMATION_DELAY_MS = 1_300;
/** Sends changes at once, and resends them to instances that lack them. */
export class FleetPublisher {
  readonly #options: FleetPublisherOptions;
  readonly #incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
  readonly #startedAt: number;
  readonly #roster: RosterPublisher;
  readonly #targetsSentAt = new Map<string, number>();
  readonly #policy: PolicyPublisher;
  readonly #sentEvacuations = new SentVersions();
  /**
   * Published changes, by role. The roles differ because entry instances are
   * not sent changes of weight versions.
   */
  readonly #changes = new Map<FleetRole, ChangeCounter>();
  /** Targets whose latest reports are still to be forwarded. */
  readonly #unforwarded = new Set<string>();
  #forwardedAt = -Infinity;

  constructor(options: FleetPublisherOptions) {
    this.#options = options;
    this.#startedAt = options.now();
    this.#roster = new RosterPublisher(options);
    this.#policy = new PolicyPublisher(options);
  }

  /**
   * Schedules sending the policy; of several applied at once, only the last.
   */
  schedulePolicy(): void {
    this.#policy.schedule();
  }

  /**
   * Publishes a change of a target to the roles that send it work.
   * @param previous - What was known of it; undefined for a new target.
   */
  publishTarget(
    report: TargetReport,
    previous: RegisteredTarget | undefined,
  ): void {
    const { coldUntil } = this.#options.registry.get(report.id) ?? {};
    const isPlaceChanged = previous === undefined ||
      previous.coldUntil !== coldUntil ||
      !isSameExceptVersions(previous.report, report);
    this.#sendTarget(FleetRole.Ledger, report);
    if (isPlaceChanged) this.#sendTarget(FleetRole.Entry, report);
  }

  /** Forwards a target's report to the other control instances. */
  forwardReport(report: TargetReport): void {
    this.#unforwarded.delete(report.id);
    this.#forward([report]);
  }

  /** Forwards a report that changes nothing together with others. */
  forwardLater({ id }: TargetReport): void {
    this.#unforwarded.add(id);
  }

  #forwardCollected(): void {
    const { registry, now } = this.#options;
    if (this.#unforwarded.size === 0) return;
    if (now() - this.#forwardedAt < FORWARD_INTERVAL_MS) return;
    this.#forwardedAt = now();
    // What is known by now: a version may have been loaded since the report.
    const reports = [...this.#unforwarded]
      .map((id) => registry.get(id)?.report)
      .filter((report) => report !== undefined)
      .filter(({ state }) => state !== TargetState.Removed);
    this.#unforwarded.clear();
    if (reports.length > 0) this.#forward(reports);
  }

  #forward(reports: readonly TargetReport[]): void {
    const notice: FleetNotice = {
      type: "targets",
      mark: undefined,
      isWhole: false,
      reports,
    };
    this.#options.node.notifyRole(FleetRole.Control, notice);
  }

  /** Publishes the suspicions that a command changed to the entry instances. */
  publishSuspicions(command: FleetCommand): void {
    const { node, state } = this.#options;
    const fingerprints = fingerprintsOf(command);
    if (fingerprints.length === 0) return;
    const update = state().suspicionsOf(fingerprints);
    node.notifyRole(FleetRole.Entry, { type: "suspicions", ...update });
  }

  /**
   * Publishes the evacuated data centres to the instances that lack them, or
   * know of no state yet.
   */
  publishEvacuations(): void {
    const { node, state, now } = this.#options;
    const update = state().evacuations.save();
    // An instance that knows nothing yet would take this state for the latest.
    const unknown = this.#mayTellFirst ? -1 : Infinity;
    const outdated = this.#followers
      .filter(({ member: { evacuationVersion = unknown } }) =>
        evacuationVersion < update.version
      )
      .filter(({ id }) =>
        this.#sentEvacuations.take(id, update.version, now())
      );
    node.notify(outdated.map(({ id }) => id), {
      type: "evacuations",
      ...update,
    });
  }

  /** Publishes that a target is loading weights, or has loaded them. */
  publishLoad(type: "loading" | "loaded", load: LoadedVersion): void {
    const { node } = this.#options;
    for (const role of LOG_ROLES) node.notifyRole(role, { type, ...load });
  }

  /**
   * Resends policy, evacuations and targets to every instance whose presence
   * shows that it lacks them, for example after a lost message. Forwards the
   * collected reports. Sends the roster to all instances if it has changed, and
   * also at intervals.
   */
  resendMissing(): void {
    const { node, now } = this.#options;
    this.#policy.send();
    this.publishEvacuations();
    this.#forwardCollected();
    const confirmableAt = now() - CONFIRMATION_DELAY_MS;
    for (const role of FOLLOWER_ROLES) {
      const confirmable = this.#changesOf(role).countUntil(confirmableAt);
      for (const { id, member } of node.linkedMembers(role)) {
        const applied = member.targetsSeen[node.settings.id];
        const isNew = applied?.life !== this.#incarnation;
        const isBehind = isNew || applied.change < confirmable;
        if (isBehind) this.#sendAllTargets(id, role, isNew);
      }
    }
    this.#roster.send();
  }

  /** Sends all targets, and those that have left, to all followers again. */
  resendTargets(): void {
    const { node, now } = this.#options;
    for (const role of FOLLOWER_ROLES) {
      this.#changesOf(role).add(now());
      for (const { id } of node.linkedMembers(role)) {
        this.#targetsSentAt.delete(id);
        this.#sendAllTargets(id, role, true);
      }
    }
  }

  #sendTarget(role: FleetRole, report: TargetReport): void {
    const { node } = this.#options;
    this.#changesOf(role).add(this.#options.now());
    node.notifyRole(role, {
      type: "targets",
      mark: this.#lastChangeOf(role),
      isWhole: false,
      reports: [this.#currentReport(report)],
    });
  }

  /** Gets a report with the cold time that is left of it by now. */
  #currentReport(report: TargetReport): TargetReport {
    const { registry, now } = this.#options;
    const target = registry.get(report.id);
    return target === undefined ? report : reportAt(target, now());
  }

  #lastChangeOf(role: FleetRole): ChangeSequence {
    return { life: this.#incarnation, change: this.#changesOf(role).count };
  }

  #changesOf(role: FleetRole): ChangeCounter {
    let changes = this.#changes.get(role);
    if (changes !== undefined) return changes;
    changes = new ChangeCounter(CONFIRMATION_DELAY_MS);
    this.#changes.set(role, changes);
    return changes;
  }

  get #followers() {
    const { node } = this.#options;
    return FOLLOWER_ROLES.flatMap((role) => [...node.linkedMembers(role)]);
  }

  /** Sends all targets, at most once per interval and instance. */
  #sendAllTargets(id: string, role: FleetRole, isNew: boolean): void {
    const { node, registry, state, now } = this.#options;
    const at = now();
    const intervalMs = isNew ? TARGETS_RESEND_NEW_MS : TARGETS_RESEND_MS;
    if (at - (this.#targetsSentAt.get(id) ?? -Infinity) < intervalMs) return;
    this.#targetsSentAt.set(id, at);
    node.notify([id], {
      type: "targets",
      mark: this.#lastChangeOf(role),
      isWhole: true,
      reports: registry.all.map((target) => reportAt(target, at)),
      departed: state().departures.all
        .map(({ target, incarnation }) => ({ target, incarnation })),
    });
  }

  /** Gets whether this instance leads, or has waited for a leader in vain. */
  get #mayTellFirst(): boolean {
    const { node, leadsTerm, now } = this.#options;
    if (leadsTerm() !== undefined) return true;
    return node.leaderOf(FleetRole.Control) === undefined &&
      now() - this.#startedAt > LEADER_WAIT_MS;
  }
}
