/** Policy, targets and policy lease of an instance without the control log. */
import { randomUUID } from "node:crypto";
import type { UsageWindows } from "../../core/calls/mod.ts";
import type { ElapsedClock } from "../../core/clock/mod.ts";
import {
  type ChangeSequence,
  type FleetNotice,
  FleetRole,
} from "../../core/fleet/mod.ts";
import { type PolicyDocument, PolicyView } from "../../core/policy/mod.ts";
import {
  type LoadedVersion,
  RegistryChange,
  type TargetRegistry,
  type TargetReport,
  type TargetSigns,
} from "../../core/registry/mod.ts";
import {
  type ConfirmPolicyReply,
  type ConfirmPolicyRequest,
  FleetMethod,
} from "./fleet_method.ts";
import type { CrashWatch } from "./crash_watch.ts";
import { EvacuationWatch } from "./evacuation_watch.ts";
import type { FleetNode } from "./fleet_node.ts";
import { PolicyLease } from "./policy_lease.ts";
import { logTargetsChanged } from "./target_log.ts";
import { type NoticeOf, TargetSignsRecorder } from "./target_signs_recorder.ts";

/** Options of {@link FleetFollower}. */
export interface FleetFollowerOptions {
  readonly node: FleetNode;
  readonly registry: TargetRegistry;
  readonly clock: ElapsedClock;
  /** Receives the suspicions of the control log; none if absent. */
  readonly crashes?: CrashWatch;
  /** Whether API keys are accepted here, for which a policy lease is held. */
  readonly needsLease: boolean;
  /** Gets the number of started requests, by window and workspace. */
  readonly usage: () => UsageWindows;
  /** Called when a target has changed, or which data centres are evacuated. */
  readonly onTargetsChanged: () => void;
  /** Called when a target has started to load weights. */
  readonly onLoading?: (loading: LoadedVersion) => void;
}

/** Confirmations per lease duration. */
const CONFIRMS_PER_LEASE = 4;
const CONFIRM_TIMEOUT_MS = 900;
/** Default time that a request waits for an expired lease to be renewed. */
const LEASE_WAIT_MS = 600;
/**
 * Time after which a lost lease is not expected back at once, in milliseconds:
 * the instance is cut off, and its callers are better served by another one.
 */
const LONG_LOST_MS = 3_000;
/** Delay of the next confirmation while requests wait, in milliseconds. */
const AWAITED_CONFIRM_DELAY_MS = 60;

/** Applies the notices of the control instances. */
export class FleetFollower {
  /** The evacuated data centres in force here. */
  readonly evacuations: EvacuationWatch;
  readonly #options: FleetFollowerOptions;
  readonly #targetsSeen: Record<string, ChangeSequence> = {};
  readonly #incarnation = randomUUID();
  readonly #lease: PolicyLease;
  readonly #signs: TargetSignsRecorder;
  #policy: PolicyView | undefined;
  #isConfirming = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: FleetFollowerOptions) {
    this.#options = options;
    this.#signs = new TargetSignsRecorder(options);
    this.#lease = new PolicyLease({
      ...options,
      revision: () => this.policyRevision,
    });
    this.evacuations = new EvacuationWatch({
      ...options,
      getService: (name) => this.#policy?.getService(name),
      now: () => options.clock.now(),
      onChanged: () => this.#onEvacuationsChanged(),
    });
    options.node.onNotice = (notice, from) => this.#onNotice(notice, from);
    options.node.isKnownNotice = (body) => this.#isKnownPolicy(body);
  }

  /** Gets the policy that this instance applies; undefined before the first. */
  get policy(): PolicyView | undefined {
    return this.#policy;
  }

  /** Gets the revision of the applied policy; 0 if there is none. */
  get policyRevision(): number {
    return this.#policy?.revision ?? 0;
  }

  /** Gets the last change of targets applied, by control instance. */
  get targetsSeen(): Readonly<Record<string, ChangeSequence>> {
    return this.#targetsSeen;
  }

  /**
   * Gets whether the policy lease is valid; API keys are accepted only then.
   */
  get hasLease(): boolean {
    return this.#lease.isValid;
  }

  /** Starts to confirm policy and evacuations with the control leader. */
  start(): this {
    const { policyLeaseMs } = this.#options.node.settings.times;
    const intervalMs = policyLeaseMs / CONFIRMS_PER_LEASE;
    this.#timer = setInterval(() => this.#confirm(), intervalMs);
    this.#confirm();
    return this;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Waits for an expired lease to be renewed, for example after the process was
   * suspended or while the control instances start again.
   * @returns Whether the lease is valid.
   */
  async awaitLease(maxWaitMs = LEASE_WAIT_MS): Promise<boolean> {
    if (this.hasLease) return true;
    this.#confirm();
    const isLongLost = this.#lease.lostMs > LONG_LOST_MS;
    await this.#lease.untilRenewed(
      isLongLost ? Math.min(maxWaitMs, LEASE_WAIT_MS) : maxWaitMs,
    );
    return this.hasLease;
  }

  /** Records what a target says of itself, and tells the control instances. */
  onSigns(target: TargetReport, signs: TargetSigns): void {
    this.#signs.onSigns(target, signs);
  }

  #confirm(): void {
    const { node, clock } = this.#options;
    this.#lease.report();
    node.metrics.gauge("policy.revision", this.policyRevision);
    if (this.#isConfirming) return;
    this.#isConfirming = true;
    const sentAt = clock.now();
    node.requestLeader(FleetRole.Control, FleetMethod.Confirm, {
      params: this.#confirmRequest(),
      timeoutMs: CONFIRM_TIMEOUT_MS,
      attemptMs: CONFIRM_TIMEOUT_MS / 2,
    })
      .then((reply) => this.#onConfirmed(reply as ConfirmPolicyReply, sentAt))
      .catch((err) =>
        node.logger.event("policyUnconfirmed", {
          reason: (err as Error).message,
        })
      )
      .finally(() => {
        this.#isConfirming = false;
        this.#confirmAgainIfAwaited();
      });
  }

  /** Confirms soon again, since the interval is longer than requests wait. */
  #confirmAgainIfAwaited(): void {
    if (!this.#lease.isAwaited) return;
    setTimeout(() => {
      if (this.#lease.isAwaited) this.#confirm();
    }, AWAITED_CONFIRM_DELAY_MS);
  }

  #confirmRequest(): ConfirmPolicyRequest {
    const { node, usage, crashes } = this.#options;
    return {
      revision: this.policyRevision,
      instance: node.settings.id,
      life: this.#incarnation,
      usage: usage(),
      suspicionVersion: crashes?.version,
      evacuationVersion: this.evacuations.version,
    };
  }

  #onConfirmed(reply: ConfirmPolicyReply, sentAt: number): void {
    const { document, suspicions, evacuations } = reply;
    this.evacuations.confirm(evacuations);
    if (document !== undefined) this.#applyPolicy(document);
    if (suspicions) this.#options.crashes?.onConfirmed(suspicions);
    if (this.policyRevision < reply.revision) return;
    const { policyLeaseMs } = this.#options.node.settings.times;
    this.#lease.extend(sentAt + policyLeaseMs);
  }

  #onEvacuationsChanged(): void {
    const { node, onTargetsChanged } = this.#options;
    onTargetsChanged();
    node.hub.announce();
  }

  #onNotice(notice: FleetNotice, from: string): void {
    if (notice.type === "policy") this.#applyPolicy(notice.document);
    if (notice.type === "suspicions") this.#options.crashes?.onPushed(notice);
    if (notice.type === "evacuations") this.evacuations.confirm(notice);
    if (notice.type === "loading") this.#options.onLoading?.(notice);
    if (notice.type === "loaded") {
      const { registry, onTargetsChanged } = this.#options;
      if (registry.recordVersion(notice)) onTargetsChanged();
    }
    if (notice.type === "limit") this.#signs.recordLimit(notice);
    if (notice.type === "cold") this.#signs.extendCold(notice);
    if (notice.type !== "targets") return;
    this.#recordChange(from, notice);
    this.#mergeReports(notice);
    this.#signs.repeatLeaving(notice, from);
  }

  /** Checks whether a message holds a policy that is not newer than this one's. */
  #isKnownPolicy(body: unknown): boolean {
    const { type, document } = (body ?? {}) as Partial<NoticeOf<"policy">>;
    return type === "policy" && typeof document?.revision === "number" &&
      document.revision <= this.policyRevision;
  }

  /** Applies a policy if its revision is newer than the current one. */
  #applyPolicy(document: PolicyDocument): void {
    if (document.revision <= this.policyRevision) return;
    this.#policy = new PolicyView(document);
    const { node, registry, clock } = this.#options;
    registry.setServices(document.services.map((s) => s.name), clock.now());
    node.logger.event("policyInForce", { revision: document.revision });
    node.hub.announce();
  }

  /**
   * Records a change as applied if it directly follows the last one, or if all
   * targets came with it. After a missed change nothing is recorded, so that
   * the control instance resends all targets. The first ones of an instance are
   * confirmed at once.
   */
  #recordChange(
    from: string,
    { mark, isWhole }: NoticeOf<"targets">,
  ): void {
    if (mark === undefined) return;
    const lastChange = this.#targetsSeen[from];
    const isNext = lastChange?.life === mark.life &&
      lastChange.change + 1 === mark.change;
    if (!isWhole && !isNext) return;
    this.#targetsSeen[from] = mark;
    // Else all targets are sent again until the next heartbeat confirms them.
    if (lastChange?.life !== mark.life) this.#options.node.hub.announce();
  }

  #mergeReports(notice: NoticeOf<"targets">): void {
    const { registry, clock, onTargetsChanged, node } = this.#options;
    const merged = notice.reports
      .filter((report) =>
        registry.merge(report, clock.now()) === RegistryChange.Changed
      )
      .map(({ id }) => id);
    const left = (notice.departed ?? [])
      .filter((k) => registry.markLeaving(k.target, k.incarnation))
      .map(({ target }) => target);
    const changed = [...new Set([...merged, ...left])]
      .map((id) => registry.getReportOrThrow(id));
    logTargetsChanged(node.logger, changed);
    if (changed.length > 0) onTargetsChanged();
  }
}
