/** A clock for leases that counts time in which the machine stood still. */

/** Sources of {@link ElapsedClock}, both in milliseconds. */
export interface ClockSources {
  /** Gets the steady clock; it stands still while a machine is suspended. */
  readonly steady: () => number;
  /** Gets the time of day; it may jump either way. */
  readonly wall: () => number;
}

const SYSTEM_SOURCES: ClockSources = {
  steady: () => performance.now(),
  wall: () => Date.now(),
};

/**
 * Counts the greater of the times that two clocks say have passed.
 *
 * A lease measured by it may end too early, and never too late.
 *
 * @example
 * ```ts
 * const clock = new ElapsedClock();
 * const leaseEndMs = clock.now() + 3_000;
 * ```
 */
export class ElapsedClock {
  readonly #sources: ClockSources;
  #steady: number;
  #wall: number;
  #elapsed = 0;

  /** Creates a clock that stands at 0. */
  constructor(sources: ClockSources = SYSTEM_SOURCES) {
    this.#sources = sources;
    this.#steady = sources.steady();
    this.#wall = sources.wall();
  }

  /** Gets the elapsed time, in milliseconds. */
  now(): number {
    const steady = this.#sources.steady();
    const wall = this.#sources.wall();
    this.#elapsed += Math.max(0, steady - this.#steady, wall - this.#wall);
    this.#steady = steady;
    this.#wall = wall;
    return this.#elapsed;
  }
}
