/** Virtual time for the randomised runs. */
import TinyQueue from "tinyqueue";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Time between two looks at the check of a run, in milliseconds. */
const CHECK_EVERY_MS = 500;

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs events in order of virtual time; the same seed gives the same run. */
export class Scheduler {
  readonly #queue = new TinyQueue<Event>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );
  readonly #generator;
  #now = 0;
  #order = 0;

  /** Creates a scheduler at time 0. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Gets the virtual time, in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Gets the number of events run so far. */
  get steps(): number {
    return this.#order;
  }

  /** Gets a random number from 0 to 1. */
  readonly random = (): number => uniformFloat64(this.#generator);

  /** Gets a random number between two. */
  between(min: number, max: number): number {
    return min + (max - min) * this.random();
  }

  /** Gets a random element. */
  pick<T>(elements: readonly T[]): T {
    return elements[Math.floor(this.random() * elements.length)];
  }

  /** Runs a function after a delay. */
  after(delayMs: number, run: () => void): void {
    this.#order += 1;
    this.#queue.push({ at: this.#now + delayMs, order: this.#order, run });
  }

  /** Runs events until a time. */
  runUntil(until: number): void {
    while (true) {
      const next = this.#queue.peek();
      if (next === undefined || next.at > until) break;
      this.#queue.pop();
      this.#now = next.at;
      next.run();
    }
    this.#now = until;
  }

  /** Runs a function again and again, at gaps spread about a mean. */
  everyAbout(meanGapMs: number, run: () => void): void {
    this.after(this.between(meanGapMs / 2, meanGapMs * 1.5), () => {
      run();
      this.everyAbout(meanGapMs, run);
    });
  }

  /** Runs events until a time, as long as a check holds. */
  runWhile(isGoing: () => boolean, until: number): void {
    for (let at = 0; at < until && isGoing();) {
      at = Math.min(until, at + CHECK_EVERY_MS);
      this.runUntil(at);
    }
  }
}
