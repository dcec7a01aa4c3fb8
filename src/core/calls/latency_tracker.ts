/** Latency and failures of targets, as measured by an instance. */

/** Measurements of one target. */
interface TargetStats {
  inFlight: number;
  latencyMs: number;
  failedAt: number;
}

const DEFAULT_LATENCY_MS = 30;
/** Weight of the latest latency in the mean. */
const EWMA_WEIGHT = 0.25;
/** Time for which a target is suspect after a failure. */
const SUSPECT_MS = 2_000;

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
    outcome: { latencyMs: number; isFailure: boolean; now: number },
  ): this {
    const stats = this.#statsOf(target);
    stats.inFlight -= 1;
    if (outcome.isFailure) {
      stats.failedAt = outcome.now;
      return this;
    }
    stats.latencyMs += EWMA_WEIGHT * (outcome.latencyMs - stats.latencyMs);
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

  /** Gets whether a target failed recently. */
  isSuspect(target: string, now: number): boolean {
    const failedAt = this.#stats.get(target)?.failedAt ?? -Infinity;
    return now - failedAt < SUSPECT_MS;
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
    stats = { inFlight: 0, latencyMs: DEFAULT_LATENCY_MS, failedAt: -Infinity };
    this.#stats.set(target, stats);
    return stats;
  }
}
