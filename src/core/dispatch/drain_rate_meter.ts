/** Measures the drain rate of the queue of one workspace. */

const EWMA_WEIGHT = 0.3;
/** Minimum time over which a rate is measured, in milliseconds. */
const MIN_INTERVAL_MS = 500;
/** Minimum number of items for a rate; a burst of few gives a false one. */
const MIN_DEQUEUED_ITEMS = 16;
/** Time without being empty after which a queue counts as standing. */
const STANDING_MS = 1_000;

/**
 * Tracks the length of a queue and the rate at which items leave it.
 *
 * @example
 * ```ts
 * meter.onAdded(100, now);
 * meter.onDequeued(100, now).isStanding(now); // false: the queue is empty
 * ```
 */
export class DrainRateMeter {
  #queuedTokens = 0;
  #dequeuedTokens = 0;
  #dequeuedCount = 0;
  #countedSince: number;
  #tokensPerMs: number | undefined;
  #standingSince: number;

  /** Creates the meter of an empty queue. */
  constructor(now: number) {
    this.#countedSince = now;
    this.#standingSince = now;
  }

  /** Gets the number of queued tokens. */
  get queuedTokens(): number {
    return this.#queuedTokens;
  }

  /** Gets whether the queue has not been empty for {@link STANDING_MS}. */
  isStanding(now: number): boolean {
    return this.#queuedTokens > 0 && now - this.#standingSince >= STANDING_MS;
  }

  /**
   * Gets the drain rate of a standing queue, in tokens per millisecond;
   * undefined if the queue is not standing or no rate has been measured.
   */
  tokensPerMs(now: number): number | undefined {
    return this.isStanding(now) ? this.#tokensPerMs : undefined;
  }

  /** Records that an item was queued. */
  onAdded(tokens: number, now: number): this {
    if (this.#queuedTokens <= 0) this.#reset(now);
    this.#queuedTokens += tokens;
    return this;
  }

  /** Records that an item was taken from the queue and placed. */
  onDequeued(tokens: number, now: number): this {
    this.#dequeuedTokens += tokens;
    this.#dequeuedCount += 1;
    this.onRemoved(tokens, now);
    const elapsed = now - this.#countedSince;
    if (elapsed < MIN_INTERVAL_MS || this.#dequeuedCount < MIN_DEQUEUED_ITEMS) {
      return this;
    }
    const rate = this.#dequeuedTokens / elapsed;
    const previous = this.#tokensPerMs ?? rate;
    this.#tokensPerMs = previous + EWMA_WEIGHT * (rate - previous);
    this.#dequeuedTokens = 0;
    this.#dequeuedCount = 0;
    this.#countedSince = now;
    return this;
  }

  /** Records that an item left the queue without being placed. */
  onRemoved(tokens: number, now: number): this {
    this.#queuedTokens -= tokens;
    if (this.#queuedTokens <= 0) this.#reset(now);
    return this;
  }

  #reset(now: number): void {
    this.#queuedTokens = 0;
    this.#standingSince = now;
    this.#countedSince = now;
    this.#dequeuedTokens = 0;
    this.#dequeuedCount = 0;
    this.#tokensPerMs = undefined;
  }
}
