/** What an instance has seen of its targets. */

/** Latency and failures of one target. */
interface Seen {
  inFlight: number;
  latencyMs: number;
  failedAt: number;
}

const UNSEEN_LATENCY_MS = 30;
/** Weight of the newest latency in the mean. */
const NEWEST_WEIGHT = 0.25;
/** Time for which a failure counts against a target. */
const SUSPECT_MS = 2_000;

/** Keeps means of latency and the last failures, by target. */
export class LatencyBook {
  readonly #seen = new Map<string, Seen>();

  /** Records that a call was sent. */
  onSent(target: string): this {
    this.#of(target).inFlight += 1;
    return this;
  }

  /** Records that a call has ended. */
  onEnded(
    target: string,
    outcome: { latencyMs: number; isFailure: boolean; now: number },
  ): this {
    const seen = this.#of(target);
    seen.inFlight -= 1;
    if (outcome.isFailure) {
      seen.failedAt = outcome.now;
      return this;
    }
    seen.latencyMs += NEWEST_WEIGHT * (outcome.latencyMs - seen.latencyMs);
    return this;
  }

  /** Gets the calls in flight. */
  inFlight(target: string): number {
    return this.#seen.get(target)?.inFlight ?? 0;
  }

  /** Gets the mean latency, in milliseconds. */
  latencyMs(target: string): number {
    return this.#seen.get(target)?.latencyMs ?? UNSEEN_LATENCY_MS;
  }

  /** Gets whether a target failed lately. */
  isSuspect(target: string, now: number): boolean {
    const failedAt = this.#seen.get(target)?.failedAt ?? -Infinity;
    return now - failedAt < SUSPECT_MS;
  }

  /** Forgets all targets but these. */
  keepOnly(targets: ReadonlySet<string>): this {
    for (const [id, seen] of this.#seen) {
      if (!targets.has(id) && seen.inFlight <= 0) this.#seen.delete(id);
    }
    return this;
  }

  #of(target: string): Seen {
    let seen = this.#seen.get(target);
    if (seen !== undefined) return seen;
    seen = { inFlight: 0, latencyMs: UNSEEN_LATENCY_MS, failedAt: -Infinity };
    this.#seen.set(target, seen);
    return seen;
  }
}
