/** Limits how many runs a leader starts, by how far its process lags behind. */

/**
 * Delay of a tick from which the limit is halved, in milliseconds; well below
 * the election timeout.
 */
const MAX_LAG_MS = 150;
/** Starts per tick of a process whose speed is not known yet. */
const FIRST_STARTS = 48;
const MIN_STARTS = 16;
const MAX_STARTS = 256;
/** Number by which the starts per tick grow while the process keeps up. */
const STARTS_STEP = 8;

/**
 * Limits how many runs start in a tick. The limit grows while ticks are in time
 * and is halved after a late one, so that a new leader with many waiting items
 * still sends its heartbeats before the election timeout.
 *
 * @example
 * ```ts
 * const pacer = new StartPacer(50).onTick(0);
 * pacer.left; // 48
 * ```
 */
export class StartPacer {
  readonly #tickMs: number;
  #limit = FIRST_STARTS;
  #left = FIRST_STARTS;
  #tickedAt: number | undefined;

  /**
   * Creates a pacer of a process whose speed is not known.
   * @param tickMs - Interval at which {@link onTick} is to be called.
   */
  constructor(tickMs: number) {
    this.#tickMs = tickMs;
  }

  /** Gets the number of runs that may start until the next tick. */
  get left(): number {
    return this.#left;
  }

  /** Resets the speed of the process, as for a new leader. */
  reset(): this {
    this.#limit = FIRST_STARTS;
    this.#left = FIRST_STARTS;
    this.#tickedAt = undefined;
    return this;
  }

  /** Allows starts until the next tick: fewer if this one comes late. */
  onTick(now: number): this {
    const lagMs = this.#tickedAt === undefined
      ? 0
      : now - this.#tickedAt - this.#tickMs;
    if (lagMs > MAX_LAG_MS) {
      this.#limit = Math.max(MIN_STARTS, Math.floor(this.#limit / 2));
    } else if (this.#tickedAt !== undefined) {
      this.#limit = Math.min(MAX_STARTS, this.#limit + STARTS_STEP);
    }
    this.#tickedAt = now;
    this.#left = this.#limit;
    return this;
  }

  /** Uses some of the starts. */
  use(starts: number): this {
    this.#left = Math.max(0, this.#left - starts);
    return this;
  }
}
