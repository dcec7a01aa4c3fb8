/** Seeded schedule of events in virtual time. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import TinyQueue from "tinyqueue";

interface Event {
  readonly at: number;
  readonly run: () => void;
}

/** Numbers drawn before use: the first ones of similar seeds are similar. */
const WARM_UP_DRAWS = 20;
/** Depth of the chains of promises that an event settles. */
const MICROTASKS = 4;

/** Runs events in the order of their times. */
export class SimulatedSchedule {
  readonly #generator;
  readonly #events = new TinyQueue<Event>([], (a, b) => a.at - b.at);
  #now = 0;
  #mayContinue = false;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
    for (let i = 0; i < WARM_UP_DRAWS; i += 1) this.random();
  }

  get now(): number {
    return this.#now;
  }

  /** Draws a number in the range [0, 1). */
  random(): number {
    return uniformFloat64(this.#generator);
  }

  /** Adds an event. */
  after(delayMs: number, run: () => void): this {
    this.#events.push({ at: this.#now + delayMs, run });
    return this;
  }

  /** Marks the current event as one that lets asynchronous code continue. */
  settle(): this {
    this.#mayContinue = true;
    return this;
  }

  /** Runs events until a time, which they may change. */
  async runUntil(getEnd: () => number): Promise<void> {
    while (this.#events.length > 0) {
      const { at, run } = this.#events.pop()!;
      if (at >= getEnd()) return;
      this.#now = at;
      this.#mayContinue = false;
      run();
      if (!this.#mayContinue) continue;
      for (let i = 0; i < MICROTASKS; i += 1) await undefined;
    }
  }
}
