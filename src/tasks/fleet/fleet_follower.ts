/** Policy, targets and lease of an instance that follows the control log. */
import { randomUUID } from "node:crypto";
import type { UsageWindows } from "../../core/calls/mod.ts";
import type { ElapsedClock } from "../../core/clock/mod.ts";
import {
  type ChangeMark,
  type FleetNotice,
  FleetRole,
} from "../../core/fleet/mod.ts";
import { type PolicyDocument, PolicyView } from "../../core/policy/mod.ts";
import {
  type LoadedVersion,
  RegistryChange,
  type TargetRegistry,
} from "../../core/registry/mod.ts";
import {
  FleetMethod,
  type PolicyConfirmation,
  type PolicyQuestion,
} from "./fleet_control.ts";
import type { FleetNode } from "./fleet_node.ts";
import { logTargetChanged } from "./target_log.ts";

/** Options of {@link FleetFollower}. */
export interface FleetFollowerOptions {
  readonly node: FleetNode;
  readonly registry: TargetRegistry;
  readonly clock: ElapsedClock;
  /** Whether the policy is to be confirmed again and again. */
  readonly needsLease: boolean;
  /** Gets the requests begun, by window and workspace. */
  readonly usage: () => UsageWindows;
  /** Hears that targets have changed. */
  readonly onTargetsChanged: () => void;
  /** Hears that a target loads weights; nobody where absent. */
  readonly onLoading?: (loading: LoadedVersion) => void;
}

/** Confirmations in the time of a lease. */
const CONFIRMS_PER_LEASE = 4;
const CONFIRM_TIMEOUT_MS = 900;
/** Time for which a request waits for a lease that has run out. */
const LEASE_WAIT_MS = 600;

/** Keeps what control instances tell. */
export class FleetFollower {
  readonly #options: FleetFollowerOptions;
  readonly #targetsSeen: Record<string, ChangeMark> = {};
  readonly #life = randomUUID();
  #policy: PolicyView | undefined;
  #leaseEnd = -Infinity;
  #isConfirming = false;
  #hadLease = false;
  readonly #waiters = new Set<() => void>();
  #timer: NodeJS.Timeout | undefined;

  /** Creates the follower. */
  constructor(options: FleetFollowerOptions) {
    this.#options = options;
    options.node.onNotice = (notice, from) => this.#onNotice(notice, from);
  }

  /** Gets the policy in force here. */
  get policy(): PolicyView | undefined {
    return this.#policy;
  }

  /** Gets the revision of the policy; 0 for none. */
  get policyRevision(): number {
    return this.#policy?.revision ?? 0;
  }

  /** Gets the last change of targets that was taken in, by its teller. */
  get targetsSeen(): Readonly<Record<string, ChangeMark>> {
    return this.#targetsSeen;
  }

  /** Gets whether the policy was confirmed lately enough for keys. */
  get hasLease(): boolean {
    return this.#options.clock.now() < this.#leaseEnd;
  }

  /** Begins to confirm. */
  start(): this {
    if (!this.#options.needsLease) return this;
    const { policyLeaseMs } = this.#options.node.settings.times;
    const intervalMs = policyLeaseMs / CONFIRMS_PER_LEASE;
    this.#timer = setInterval(() => this.#confirm(), intervalMs);
    this.#confirm();
    return this;
  }

  /** Ends confirming. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Waits shortly for a lease that has run out, as after a freeze. */
  async awaitLease(): Promise<boolean> {
    if (this.hasLease) return true;
    this.#confirm();
    await new Promise<void>((resolve) => {
      const settle = () => {
        clearTimeout(timer);
        this.#waiters.delete(settle);
        resolve();
      };
      const timer = setTimeout(settle, LEASE_WAIT_MS);
      this.#waiters.add(settle);
    });
    return this.hasLease;
  }

  #measure(): void {
    const { node, clock } = this.#options;
    const leftMs = Math.max(0, this.#leaseEnd - clock.now());
    node.metrics.gauge("policy.revision", this.policyRevision);
    node.metrics.gauge("policy.leaseLeftMs", Math.round(leftMs));
  }

  #confirm(): void {
    this.#logLease();
    this.#measure();
    if (this.#isConfirming) return;
    this.#isConfirming = true;
    const { node, clock } = this.#options;
    const sentAt = clock.now();
    node.askLeader(FleetRole.Control, FleetMethod.Confirm, {
      params: this.#question(),
      timeoutMs: CONFIRM_TIMEOUT_MS,
      attemptMs: CONFIRM_TIMEOUT_MS / 2,
    })
      .then((answer) => this.#onConfirmed(answer as PolicyConfirmation, sentAt))
      .catch((err) =>
        node.logger.event("policyUnconfirmed", {
          reason: (err as Error).message,
        })
      )
      .finally(() => {
        this.#isConfirming = false;
      });
  }

  #question(): PolicyQuestion {
    const { node, usage } = this.#options;
    return {
      revision: this.policyRevision,
      instance: node.settings.id,
      life: this.#life,
      usage: usage(),
    };
  }

  #onConfirmed(answer: PolicyConfirmation, sentAt: number): void {
    if (answer.document !== undefined) this.#adopt(answer.document);
    if (this.policyRevision < answer.revision) return;
    const { policyLeaseMs } = this.#options.node.settings.times;
    this.#leaseEnd = Math.max(this.#leaseEnd, sentAt + policyLeaseMs);
    this.#logLease();
    for (const settle of [...this.#waiters]) settle();
  }

  #logLease(): void {
    const { hasLease } = this;
    if (hasLease === this.#hadLease) return;
    this.#hadLease = hasLease;
    const name = hasLease ? "policyLeaseHeld" : "policyLeaseLost";
    this.#options.node.logger.event(name, { revision: this.policyRevision });
  }

  #onNotice(notice: FleetNotice, from: string): void {
    if (notice.type === "policy") this.#adopt(notice.document);
    if (notice.type === "loading") this.#options.onLoading?.(notice);
    if (notice.type === "loaded") {
      const { registry, onTargetsChanged } = this.#options;
      if (registry.learnVersion(notice)) onTargetsChanged();
    }
    if (notice.type !== "targets") return;
    this.#noteMark(from, notice);
    this.#onTargets(notice);
  }

  /** A policy never gives way to an older one. */
  #adopt(document: PolicyDocument): void {
    if (document.revision <= this.policyRevision) return;
    this.#policy = new PolicyView(document);
    const { node } = this.#options;
    node.logger.event("policyInForce", { revision: document.revision });
    node.hub.announce();
  }

  /** A change counts as taken in only with all before it. */
  #noteMark(
    from: string,
    { mark, isWhole }: Extract<FleetNotice, { type: "targets" }>,
  ): void {
    if (mark === undefined) return;
    const seen = this.#targetsSeen[from];
    const isNext = seen?.life === mark.life && seen.change + 1 === mark.change;
    if (isWhole || isNext) this.#targetsSeen[from] = mark;
  }

  #onTargets(notice: Extract<FleetNotice, { type: "targets" }>): void {
    const { registry, clock, onTargetsChanged, node } = this.#options;
    let isChanged = false;
    for (const report of notice.reports) {
      if (registry.merge(report, clock.now()) !== RegistryChange.Changed) {
        continue;
      }
      isChanged = true;
      logTargetChanged(node.logger, report);
    }
    if (isChanged) onTargetsChanged();
  }
}
