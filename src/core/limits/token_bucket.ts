/** Token bucket rate limiter; callers pass the time. */

const MS_PER_SECOND = 1_000;

/** Options of {@link TokenBucket}. */
export interface TokenBucketOptions {
  /** Units added per second. */
  readonly ratePerSecond: number;
  /** Capacity of the bucket, in units. */
  readonly burst: number;
}

/**
 * Limits a rate. A correction may reduce the level below zero.
 *
 * @example
 * ```ts
 * const bucket = new TokenBucket({ ratePerSecond: 10, burst: 20 });
 * bucket.tryTake(1, Date.now()); // true
 * ```
 */
export class TokenBucket {
  #ratePerSecond: number;
  #burst: number;
  #level: number;
  #updatedAt: number | undefined;

  /** Creates a full bucket. */
  constructor(options: TokenBucketOptions) {
    this.#ratePerSecond = options.ratePerSecond;
    this.#burst = options.burst;
    this.#level = options.burst;
  }

  /** Changes rate and burst and keeps the level, up to the new burst. */
  configure(options: TokenBucketOptions): this {
    this.#ratePerSecond = options.ratePerSecond;
    this.#burst = options.burst;
    this.#level = Math.min(this.#level, options.burst);
    return this;
  }

  /** Gets the level at a time in milliseconds. */
  levelAt(now: number): number {
    this.#refill(now);
    return this.#level;
  }

  /** Takes units if the level suffices; a full bucket allows any amount. */
  tryTake(units: number, now: number): boolean {
    this.#refill(now);
    if (this.#level < Math.min(units, this.#burst)) return false;
    this.#level -= units;
    return true;
  }

  /** Returns units to the bucket; a negative number takes more. */
  refund(units: number, now: number): this {
    this.#refill(now);
    this.#level = Math.min(this.#burst, this.#level + units);
    return this;
  }

  /** Gets the time until units can be taken, in milliseconds; 0 if now. */
  waitMs(units: number, now: number): number {
    this.#refill(now);
    const missing = Math.min(units, this.#burst) - this.#level;
    if (missing <= 0) return 0;
    return (missing / this.#ratePerSecond) * MS_PER_SECOND;
  }

  #refill(now: number): void {
    const elapsedMs = Math.max(0, now - (this.#updatedAt ?? now));
    this.#updatedAt = Math.max(now, this.#updatedAt ?? now);
    const added = (elapsedMs / MS_PER_SECOND) * this.#ratePerSecond;
    this.#level = Math.min(this.#burst, this.#level + added);
  }
}
