/** Service times of a pool, for promises about the end of a request. */

/** Times kept. */
const MAX_TIMES = 512;
/** Times after which the percentiles are worked out anew. */
const REFRESH_EVERY = 32;
const HIGH_PERCENTILE = 0.99;

/**
 * Keeps the latest service times.
 *
 * @example
 * ```ts
 * times.add(1_200).highMs; // 1200
 * ```
 */
export class ServiceTimes {
  readonly #times: number[] = [];
  #next = 0;
  #sinceRefresh = 0;
  #highMs = 0;

  /** Gets the time that one request in a hundred exceeds; 0 before any. */
  get highMs(): number {
    return this.#highMs;
  }

  /** Adds a service time. */
  add(ms: number): this {
    this.#times[this.#next] = ms;
    this.#next = (this.#next + 1) % MAX_TIMES;
    this.#sinceRefresh += 1;
    if (this.#highMs > 0 && this.#sinceRefresh < REFRESH_EVERY) return this;
    this.#sinceRefresh = 0;
    const sorted = [...this.#times].sort((a, b) => a - b);
    this.#highMs = sorted[Math.floor((sorted.length - 1) * HIGH_PERCENTILE)];
    return this;
  }
}
