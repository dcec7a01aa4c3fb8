/** History of the number of requests in flight at a target. */

/** Minimum retention of counts, in milliseconds. */
const RETENTION_MS = 10_000;
/** Maximum number of counts. */
const MAX_COUNTS = 1_024;

interface Count {
  readonly at: number;
  readonly inFlight: number;
}

/**
 * Records counts over time, so that a load report, which lags behind, can be
 * compared with the count at the time of the report.
 *
 * @example
 * ```ts
 * history.record(3, 1_000).record(5, 2_000).at(1_500); // 3
 * ```
 */
export class InFlightHistory {
  #counts: Count[] = [];

  /** Records the count that holds from a time on, in milliseconds. */
  record(inFlight: number, at: number): this {
    this.#counts.push({ at, inFlight });
    const isLong = this.#counts.length > MAX_COUNTS;
    const isOld = this.#counts[0].at < at - 2 * RETENTION_MS;
    if (!isLong && !isOld) return this;
    const recent = this.#counts.filter((count) =>
      count.at >= at - RETENTION_MS
    );
    this.#counts = recent.slice(-MAX_COUNTS / 2);
    return this;
  }

  /** Gets the count at a time; the earliest one for times before it. */
  at(time: number): number {
    for (let i = this.#counts.length - 1; i >= 0; i -= 1) {
      if (this.#counts[i].at <= time) return this.#counts[i].inFlight;
    }
    return this.#counts[0]?.inFlight ?? 0;
  }
}
