/** The time for which an instance may accept API keys under its policy. */
import type { ElapsedClock } from "../../core/clock/mod.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Options of {@link PolicyLease}. */
export interface PolicyLeaseOptions {
  readonly clock: Pick<ElapsedClock, "now">;
  readonly node: Pick<FleetNode, "logger" | "metrics">;
  /** Whether API keys are accepted here, so that the lease is reported. */
  readonly needsLease: boolean;
  /** Gets the revision of the applied policy. */
  readonly revision: () => number;
}

/** Holds the lease, and lets requests wait for its renewal. */
export class PolicyLease {
  readonly #options: PolicyLeaseOptions;
  #end = -Infinity;
  #wasValid = false;
  readonly #waiters = new Set<() => void>();

  constructor(options: PolicyLeaseOptions) {
    this.#options = options;
  }

  /** Gets whether the lease is valid now. */
  get isValid(): boolean {
    return this.#options.clock.now() < this.#end;
  }

  /** Gets whether requests wait for the lease to be extended. */
  get isAwaited(): boolean {
    return this.#waiters.size > 0;
  }

  /** Gets the time since the lease ended, in milliseconds; 0 if it is valid. */
  get lostMs(): number {
    return Math.max(0, this.#options.clock.now() - this.#end);
  }

  /** Extends the lease; an earlier end than the current one is ignored. */
  extend(end: number): this {
    this.#end = Math.max(this.#end, end);
    for (const settle of [...this.#waiters]) settle();
    return this.report();
  }

  /** Logs whether the lease is valid, if that has changed, and its end. */
  report(): this {
    const { clock, node, needsLease, revision } = this.#options;
    if (!needsLease) return this;
    const leftMs = Math.max(0, this.#end - clock.now());
    node.metrics.gauge("policy.leaseLeftMs", Math.round(leftMs));
    const { isValid } = this;
    if (isValid === this.#wasValid) return this;
    this.#wasValid = isValid;
    const name = isValid ? "policyLeaseHeld" : "policyLeaseLost";
    node.logger.event(name, { revision: revision() });
    return this;
  }

  /** Waits for the next extension, for a limited time. */
  untilRenewed(timeoutMs: number): Promise<void> {
    return new Promise<void>((resolve) => {
      const settle = () => {
        clearTimeout(timer);
        this.#waiters.delete(settle);
        resolve();
      };
      const timer = setTimeout(settle, timeoutMs);
      this.#waiters.add(settle);
    });
  }
}
