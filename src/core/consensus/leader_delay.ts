/** Decides how much longer followers wait for a leader whose process is slow. */

/** Options of {@link LeaderDelay}. */
export interface LeaderDelayOptions {
  /** Time at which the process started, in milliseconds. */
  readonly startedAt: number;
  /** Maximum delay, in milliseconds. */
  readonly maxMs: number;
}

/** Time for which a process runs slowly after its start, in milliseconds. */
const WARM_UP_MS = 10_000;
/** Delay while a process warms up, in milliseconds. */
const WARM_UP_DELAY_MS = 500;
/** Time for which a late tick counts, in milliseconds. */
const LAG_WINDOW_MS = 5_000;
/** Delay per lag of a tick: the next stall may be longer than the last one. */
const DELAY_PER_LAG = 2;

/**
 * Measures how late the ticks of a leader come. While its event loop stalls, a
 * leader sends no heartbeats, and an election would only move the same work to
 * another process.
 *
 * @example
 * ```ts
 * const delay = new LeaderDelay({ startedAt: 0, maxMs: 1_000 });
 * delay.onTick(20_000, 300);
 * delay.get(20_000); // 600
 * ```
 */
export class LeaderDelay {
  readonly #options: LeaderDelayOptions;
  #worstLagMs = 0;
  #worstLagAt = -Infinity;

  constructor(options: LeaderDelayOptions) {
    this.#options = options;
  }

  /**
   * Records a tick.
   * @param lagMs - Time by which it was late, in milliseconds.
   */
  onTick(now: number, lagMs: number): this {
    const isOutdated = now - this.#worstLagAt > LAG_WINDOW_MS;
    if (!isOutdated && lagMs < this.#worstLagMs) return this;
    this.#worstLagMs = lagMs;
    this.#worstLagAt = now;
    return this;
  }

  /** Gets the delay of elections that followers are asked for, in milliseconds. */
  get(now: number): number {
    const { startedAt, maxMs } = this.#options;
    const isRecent = now - this.#worstLagAt <= LAG_WINDOW_MS;
    const lagMs = isRecent ? this.#worstLagMs : 0;
    const isWarmingUp = now - startedAt < WARM_UP_MS;
    const delayMs = Math.max(
      isWarmingUp ? WARM_UP_DELAY_MS : 0,
      lagMs * DELAY_PER_LAG,
    );
    return Math.min(maxMs, Math.round(delayMs));
  }
}
