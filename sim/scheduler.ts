/** Discrete-event scheduler with virtual time, for simulations. */
import TinyQueue from "tinyqueue";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Interval at which {@link Scheduler.runWhile} checks its condition. */
const CHECK_INTERVAL_MS = 500;

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * Runs events in order of virtual time, and simultaneous ones in the order in
 * which they were scheduled. The same seed gives the same run.
 */
export class Scheduler {
  readonly #queue = new TinyQueue<ScheduledEvent>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );
  readonly #generator;
  #now = 0;
  #eventCount = 0;

  /** Creates a scheduler at time 0 with a seeded random generator. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Gets the virtual time, in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Gets the number of events scheduled so far. */
  get steps(): number {
    return this.#eventCount;
  }

  /** Gets a uniform random number from 0 (inclusive) to 1 (exclusive). */
  readonly random = (): number => uniformFloat64(this.#generator);

  /** Gets a uniform random number between two limits. */
  between(min: number, max: number): number {
    return min + (max - min) * this.random();
  }

  /** Gets a random element of a non-empty array. */
  pick<T>(elements: readonly T[]): T {
    return elements[Math.floor(this.random() * elements.length)];
  }

  /** Schedules a function after a delay in milliseconds. */
  after(delayMs: number, run: () => void): void {
    this.#eventCount += 1;
    this.#queue.push({ at: this.#now + delayMs, order: this.#eventCount, run });
  }

  /** Runs events up to and including a time, and sets the clock to it. */
  runUntil(endMs: number): void {
    while (true) {
      const next = this.#queue.peek();
      if (next === undefined || next.at > endMs) break;
      this.#queue.pop();
      this.#now = next.at;
      next.run();
    }
    this.#now = endMs;
  }

  /**
   * Schedules a function repeatedly, at random intervals between 0.5 and 1.5
   * times the mean.
   */
  repeatWithJitter(meanIntervalMs: number, run: () => void): void {
    this.after(this.between(meanIntervalMs / 2, meanIntervalMs * 1.5), () => {
      run();
      this.repeatWithJitter(meanIntervalMs, run);
    });
  }

  /** Runs events until a time, or until a condition no longer holds. */
  runWhile(shouldContinue: () => boolean, endMs: number): void {
    for (let at = 0; at < endMs && shouldContinue();) {
      at = Math.min(endMs, at + CHECK_INTERVAL_MS);
      this.runUntil(at);
    }
  }
}
