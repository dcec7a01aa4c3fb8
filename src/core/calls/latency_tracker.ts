/** Latency and failures of targets, as measured by an instance. */

/** Measurements of one target. */
interface TargetStats {
  inFlight: number;
  latencyMs: number;
  /** Mean of the measured latencies alone; undefined before the first. */
  measuredMs: number | undefined;
  /** Last failure or refusal. */
  failedAt: number;
  /** End of the time for which failures, other than refusals, count. */
  failingUntil: number;
  /** Failures since the last completed call. */
  failures: number;
}

/** Assumed latency before the first measurement, in milliseconds. */
export const DEFAULT_LATENCY_MS = 30;
/** Weight of the latest latency in the mean. */
const EWMA_WEIGHT = 0.25;
/** Time for which a target is suspect after a failure. */
const SUSPECT_MS = 2_000;
/**
 * Maximum number of times that the suspect time doubles. Without it, many
 * instances send a constantly failing target a share of their calls.
 */
const MAX_SUSPECT_DOUBLINGS = 3;

/** Tracks calls in flight, mean latency and last failure by target. */
export class LatencyTracker {
  readonly #stats = new Map<string, TargetStats>();

  /** Records that a call was sent to a target. */
  onSent(target: string): this {
    this.#statsOf(target).inFlight += 1;
    return this;
  }

  /** Records that a call has ended; failures do not count as latency. */
  onEnded(
    target: string,
    outcome: {
      latencyMs: number;
      isFailure: boolean;
      /** Whether the failure is a refusal of a call that did not run. */
      isRefusal?: boolean;
      /** Whether the call was not sent after all, which tells nothing. */
      isWithheld?: boolean;
      now: number;
    },
  ): this {
    const stats = this.#statsOf(target);
    stats.inFlight -= 1;
    if (outcome.isWithheld === true) return this;
    if (outcome.isFailure) {
      stats.failedAt = outcome.now;
      if (outcome.isRefusal !== true) recordFailure(stats, outcome.now);
      return this;
    }
    stats.failures = 0;
    stats.latencyMs += EWMA_WEIGHT * (outcome.latencyMs - stats.latencyMs);
    stats.measuredMs ??= outcome.latencyMs;
    stats.measuredMs += EWMA_WEIGHT * (outcome.latencyMs - stats.measuredMs);
    return this;
  }

  /** Gets the number of calls in flight. */
  inFlight(target: string): number {
    return this.#stats.get(target)?.inFlight ?? 0;
  }

  /** Gets the mean latency, in milliseconds; a default if not measured. */
  latencyMs(target: string): number {
    return this.#stats.get(target)?.latencyMs ?? DEFAULT_LATENCY_MS;
  }

  /** Gets the mean latency, in milliseconds; undefined if not measured. */
  measuredMs(target: string): number | undefined {
    return this.#stats.get(target)?.measuredMs;
  }

  /** Gets whether a target failed recently. */
  isSuspect(target: string, now: number): boolean {
    const failedAt = this.#stats.get(target)?.failedAt ?? -Infinity;
    return now - failedAt < SUSPECT_MS;
  }

  /**
   * Gets whether a target failed recently, the longer the more often it did so
   * in a row. Refusals do not count: a full target soon has free slots again.
   */
  isFailing(target: string, now: number): boolean {
    return now < (this.#stats.get(target)?.failingUntil ?? -Infinity);
  }

  /** Removes all other targets, except those with calls in flight. */
  keepOnly(targets: ReadonlySet<string>): this {
    for (const [id, stats] of this.#stats) {
      if (!targets.has(id) && stats.inFlight <= 0) this.#stats.delete(id);
    }
    return this;
  }

  #statsOf(target: string): TargetStats {
    let stats = this.#stats.get(target);
    if (stats !== undefined) return stats;
    stats = {
      inFlight: 0,
      latencyMs: DEFAULT_LATENCY_MS,
      measuredMs: undefined,
      failedAt: -Infinity,
      failingUntil: -Infinity,
      failures: 0,
    };
    this.#stats.set(target, stats);
    return stats;
  }
}

function recordFailure(stats: TargetStats, now: number): void {
  const doublings = Math.min(stats.failures, MAX_SUSPECT_DOUBLINGS);
  stats.failures += 1;
  stats.failingUntil = now + SUSPECT_MS * 2 ** doublings;
}
