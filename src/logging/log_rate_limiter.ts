/** Rate limiter for log lines. */

/** Options of {@link LogRateLimiter}. */
export interface LogRateLimits {
  /** Sustained rate of lines of one event, per second. */
  readonly linesPerS: number;
  /** Number of lines of one event that may be written at once. */
  readonly burst: number;
}

interface Bucket {
  tokens: number;
  refilledAt: number;
}

const MS_PER_S = 1_000;

/**
 * Limits the lines of each event with a token bucket and counts dropped lines.
 *
 * @example
 * ```ts
 * if (!limiter.tryTake("callAnswered", now)) return;
 * ```
 */
export class LogRateLimiter {
  readonly #options: LogRateLimits;
  readonly #buckets = new Map<string, Bucket>();
  #dropped = new Map<string, number>();

  /** Creates a limiter with full buckets. */
  constructor(options: LogRateLimits) {
    this.#options = options;
  }

  /**
   * Takes a token for a line; counts the line as dropped if there is none.
   * @param event - Name of the event.
   * @param now - Monotonic time, in milliseconds.
   * @returns Whether the line may be written.
   */
  tryTake(event: string, now: number): boolean {
    const { linesPerS, burst } = this.#options;
    let bucket = this.#buckets.get(event);
    if (bucket === undefined) {
      bucket = { tokens: burst, refilledAt: now };
      this.#buckets.set(event, bucket);
    }
    const elapsedMs = Math.max(0, now - bucket.refilledAt);
    const refill = (elapsedMs / MS_PER_S) * linesPerS;
    bucket.tokens = Math.min(burst, bucket.tokens + refill);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
      this.countDropped(event);
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  /** Counts a line that is dropped for another reason than its rate. */
  countDropped(event: string): this {
    this.#dropped.set(event, (this.#dropped.get(event) ?? 0) + 1);
    return this;
  }

  /** Gets the number of dropped lines by event and resets the counts. */
  takeDropped(): ReadonlyMap<string, number> {
    const dropped = this.#dropped;
    this.#dropped = new Map();
    return dropped;
  }
}
