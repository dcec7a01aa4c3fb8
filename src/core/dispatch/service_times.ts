/** Service times of a pool, used to predict when a request ends. */

/** Number of latest times in the sample. */
const MAX_TIMES = 512;
/** Number of new times after which the percentile is recomputed. */
const REFRESH_EVERY = 32;
const PERCENTILE = 0.99;

/**
 * Computes the 99th percentile of the latest service times.
 *
 * @example
 * ```ts
 * times.add(1_200).p99Ms; // 1200
 * ```
 */
export class ServiceTimes {
  readonly #times: number[] = [];
  #next = 0;
  #sinceRefresh = 0;
  #p99Ms = 0;

  /** Gets the 99th percentile, in milliseconds; 0 without any times. */
  get p99Ms(): number {
    return this.#p99Ms;
  }

  /** Adds a service time in milliseconds. */
  add(ms: number): this {
    this.#times[this.#next] = ms;
    this.#next = (this.#next + 1) % MAX_TIMES;
    this.#sinceRefresh += 1;
    if (this.#p99Ms > 0 && this.#sinceRefresh < REFRESH_EVERY) return this;
    this.#sinceRefresh = 0;
    const sorted = [...this.#times].sort((a, b) => a - b);
    this.#p99Ms = sorted[Math.floor((sorted.length - 1) * PERCENTILE)];
    return this;
  }
}
