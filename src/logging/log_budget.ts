/** Bounds how many lines of an event are written. */

/** Options of {@link LogBudget}. */
export interface LogBudgetOptions {
  /** Lines of one event a second, over a longer time. */
  readonly linesPerS: number;
  /** Lines of one event that may come at once. */
  readonly burst: number;
}

interface Bucket {
  tokens: number;
  filledAt: number;
}

const MS_PER_S = 1_000;

/**
 * Lets lines through at a rate for each event, and counts the others.
 *
 * @example
 * ```ts
 * if (!budget.take("callAnswered", now)) return;
 * ```
 */
export class LogBudget {
  readonly #options: LogBudgetOptions;
  readonly #buckets = new Map<string, Bucket>();
  #dropped = new Map<string, number>();

  /** Creates a budget that is full. */
  constructor(options: LogBudgetOptions) {
    this.#options = options;
  }

  /** Gets whether a line may be written at a time in milliseconds. */
  take(event: string, now: number): boolean {
    const { linesPerS, burst } = this.#options;
    let bucket = this.#buckets.get(event);
    if (bucket === undefined) {
      bucket = { tokens: burst, filledAt: now };
      this.#buckets.set(event, bucket);
    }
    const elapsedMs = Math.max(0, now - bucket.filledAt);
    const gained = (elapsedMs / MS_PER_S) * linesPerS;
    bucket.tokens = Math.min(burst, bucket.tokens + gained);
    bucket.filledAt = now;
    if (bucket.tokens < 1) {
      this.drop(event);
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  /** Counts a line that is not written for another reason. */
  drop(event: string): this {
    this.#dropped.set(event, (this.#dropped.get(event) ?? 0) + 1);
    return this;
  }

  /** Takes the counts of the lines that were not written, by event. */
  takeDropped(): ReadonlyMap<string, number> {
    const dropped = this.#dropped;
    this.#dropped = new Map();
    return dropped;
  }
}
