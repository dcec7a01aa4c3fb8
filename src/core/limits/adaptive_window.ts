/** Adaptive limit on the requests in flight at a target. */

/** Options of {@link AdaptiveWindow}. */
export interface AdaptiveWindowOptions {
  /** Initial window. */
  readonly initial?: number;
  /** Minimum window. */
  readonly min?: number;
  /** Maximum window. */
  readonly max?: number;
}

const DEFAULT_INITIAL = 8;
const DEFAULT_MIN = 1;
const DEFAULT_MAX = 256;
/** Factor by which an overload signal reduces the window. */
const DECREASE_FACTOR = 0.7;
/** Growth per window of responses received while the window was full. */
const INCREASE_PER_WINDOW = 1;
/** Minimum time between decreases, so that one overload counts once. */
const MIN_DECREASE_INTERVAL_MS = 500;

/**
 * Adapts a concurrency window: it doubles each round trip until the first
 * sign of a limit, then grows by one each round trip.
 *
 * @example
 * ```ts
 * const window = new AdaptiveWindow({ initial: 4 });
 * window.onOverload(Date.now()).size; // 2
 * ```
 */
export class AdaptiveWindow {
  readonly #min: number;
  readonly #max: number;
  #size: number;
  #decreasedAt = -Infinity;
  #hasReachedLimit = false;

  /** Creates a window at its initial size. */
  constructor(options: AdaptiveWindowOptions = {}) {
    this.#min = options.min ?? DEFAULT_MIN;
    this.#max = options.max ?? DEFAULT_MAX;
    this.#size = options.initial ?? DEFAULT_INITIAL;
  }

  /** Gets the size of the window, rounded down. */
  get size(): number {
    return Math.floor(this.#size);
  }

  /** Grows the window after a response, if the window was full. */
  onSuccess(inFlight: number): this {
    if (inFlight < this.size) return this;
    const growth = this.#hasReachedLimit
      ? INCREASE_PER_WINDOW / Math.max(1, this.#size)
      : 1;
    this.#size = Math.min(this.#max, this.#size + growth);
    return this;
  }

  /**
   * Shrinks the window to the number of running requests, after a report that
   * requests queue inside the target.
   * @param running - Requests of this instance that the target is running.
   * @param now - Time in milliseconds.
   */
  onQueueing(running: number, now: number): this {
    this.#hasReachedLimit = true;
    if (running >= this.#size) return this;
    this.#decreasedAt = now;
    this.#size = Math.max(this.#min, running);
    return this;
  }

  /** Gets the time of the last decrease, in milliseconds. */
  get decreasedAt(): number {
    return this.#decreasedAt;
  }

  /** Shrinks the window after an overload signal. */
  onOverload(now: number): this {
    if (now - this.#decreasedAt < MIN_DECREASE_INTERVAL_MS) return this;
    this.#decreasedAt = now;
    this.#hasReachedLimit = true;
    this.#size = Math.max(this.#min, this.#size * DECREASE_FACTOR);
    return this;
  }
}
