/** What an instance has seen of its targets. */

/** Latency and failures of one target. */
interface TargetStats {
  inFlight: number;
  latencyMs: number;
  failedAt: number;
}

const DEFAULT_LATENCY_MS = 30;
/** Weight of the newest latency in the mean. */
const EWMA_WEIGHT = 0.25;
/** Time for which a failure counts against a target. */
const SUSPECT_MS = 2_000;

/** Keeps means of latency and the last failures, by target. */
export class LatencyBook {
  readonly #stats = new Map<string, TargetStats>();

  /** Records that a call was sent. */
  onSent(target: string): this {
    this.#statsOf(target).inFlight += 1;
    return this;
  }

  /** Records that a call has ended. */
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

  /** Gets the calls in flight. */
  inFlight(target: string): number {
    return this.#stats.get(target)?.inFlight ?? 0;
  }

  /** Gets the mean latency, in milliseconds. */
  latencyMs(target: string): number {
    return this.#stats.get(target)?.latencyMs ?? DEFAULT_LATENCY_MS;
  }

  /** Gets whether a target failed lately. */
  isSuspect(target: string, now: number): boolean {
    const failedAt = this.#stats.get(target)?.failedAt ?? -Infinity;
    return now - failedAt < SUSPECT_MS;
  }

  /** Forgets all targets but these. */
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
