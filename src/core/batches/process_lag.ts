/** Detects stalls of this process, during which it cannot measure targets. */

/**
 * Delay of a tick from which the times of events do not reflect targets, in
 * milliseconds; between two events there are 15 to 50 ms.
 */
const MAX_LAG_MS = 30;
/**
 * Time after a late tick in which events may still be read that waited in
 * sockets, in milliseconds.
 */
const SETTLE_MS = 50;

/**
 * Tracks the ticks of this process. A gap between events is measured only if
 * the process did not stall from its begin to its end: during a stall, events
 * wait unread, and then arrive together.
 *
 * @example
 * ```ts
 * const lag = new ProcessLag(50).onTick(0).onTick(50).onTick(400);
 * lag.isMeasured(390, 420); // false
 * ```
 */
export class ProcessLag {
  readonly #tickMs: number;
  #tickedAt: number | undefined;
  #measurableFrom = -Infinity;

  /**
   * Creates the state of a process without ticks.
   * @param tickMs - Interval at which {@link onTick} is to be called.
   */
  constructor(tickMs: number) {
    this.#tickMs = tickMs;
  }

  /** Resets the ticks after they have stopped. */
  reset(): this {
    this.#tickedAt = undefined;
    this.#measurableFrom = -Infinity;
    return this;
  }

  /** Records a tick. */
  onTick(now: number): this {
    if (this.#isOverdue(now)) this.#measurableFrom = now + SETTLE_MS;
    this.#tickedAt = now;
    return this;
  }

  /** Gets whether the process did not stall within a time that ends now. */
  isMeasured(from: number, now: number): boolean {
    return from >= this.#measurableFrom && !this.#isOverdue(now);
  }

  #isOverdue(now: number): boolean {
    return this.#tickedAt !== undefined &&
      now - this.#tickedAt > this.#tickMs + MAX_LAG_MS;
  }
}
