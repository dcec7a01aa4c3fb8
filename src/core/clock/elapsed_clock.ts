/**
 * Clock for leases that includes the time during which the machine was
 * suspended.
 */

/** Time sources of {@link ElapsedClock}, in milliseconds. */
export interface ClockSources {
  /** Monotonic clock. It does not advance while the machine is suspended. */
  readonly monotonic: () => number;
  /** Wall clock. It may jump forwards or backwards. */
  readonly wall: () => number;
}

const SYSTEM_SOURCES: ClockSources = {
  monotonic: () => performance.now(),
  wall: () => Date.now(),
};

/**
 * Measures elapsed time as the maximum of two clocks.
 *
 * At each reading it advances by the larger of the intervals measured by the
 * monotonic clock and the wall clock. A lease measured with it may expire too
 * early, but never too late.
 *
 * @example
 * ```ts
 * const clock = new ElapsedClock();
 * const leaseEndMs = clock.now() + 3_000;
 * ```
 */
export class ElapsedClock {
  readonly #sources: ClockSources;
  #lastMonotonic: number;
  #lastWall: number;
  #elapsed = 0;

  /** Creates a clock that starts at 0. */
  constructor(sources: ClockSources = SYSTEM_SOURCES) {
    this.#sources = sources;
    this.#lastMonotonic = sources.monotonic();
    this.#lastWall = sources.wall();
  }

  /** Gets the elapsed time since creation, in milliseconds. Never decreases. */
  now(): number {
    const monotonic = this.#sources.monotonic();
    const wall = this.#sources.wall();
    this.#elapsed += Math.max(
      0,
      monotonic - this.#lastMonotonic,
      wall - this.#lastWall,
    );
    this.#lastMonotonic = monotonic;
    this.#lastWall = wall;
    return this.#elapsed;
  }
}
