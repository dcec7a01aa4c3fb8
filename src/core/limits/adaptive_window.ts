/** The number of requests that a target may hold from this instance. */

/** Options of {@link AdaptiveWindow}. */
export interface AdaptiveWindowOptions {
  /** Window at the start. */
  readonly initial?: number;
  /** Smallest window. */
  readonly min?: number;
  /** Largest window. */
  readonly max?: number;
}

const DEFAULT_INITIAL = 8;
const DEFAULT_MIN = 1;
const DEFAULT_MAX = 256;
/** Factor of the window after an overload signal. */
const DECREASE_FACTOR = 0.7;
/** Growth for each answer that came while the window was in full use. */
const INCREASE_PER_WINDOW = 1;
/** Time between two decreases, so that one overload counts once. */
const MIN_DECREASE_INTERVAL_MS = 500;

/**
 * Adapts a window: it doubles until a limit is seen, then grows slowly.
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

  /** Creates a window. */
  constructor(options: AdaptiveWindowOptions = {}) {
    this.#min = options.min ?? DEFAULT_MIN;
    this.#max = options.max ?? DEFAULT_MAX;
    this.#size = options.initial ?? DEFAULT_INITIAL;
  }

  /** Gets the window, a whole number. */
  get size(): number {
    return Math.floor(this.#size);
  }

  /** Grows the window after an answer that came while it was in full use. */
  onSuccess(inFlight: number): this {
    if (inFlight < this.size) return this;
    const growth = this.#hasReachedLimit
      ? INCREASE_PER_WINDOW / Math.max(1, this.#size)
      : 1;
    this.#size = Math.min(this.#max, this.#size + growth);
    return this;
  }

  /**
   * Shrinks the window to what the target runs, where more waits inside it.
   * @param running - Requests of this instance that run there.
   */
  onQueueing(running: number, now: number): this {
    this.#hasReachedLimit = true;
    if (running >= this.#size) return this;
    this.#decreasedAt = now;
    this.#size = Math.max(this.#min, running);
    return this;
  }

  /** Gets the time of the last decrease. */
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
