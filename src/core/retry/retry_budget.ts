/** Budget that limits retries to a share of successes. */

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Number of retries earned by each success. */
  readonly share?: number;
  /** Maximum balance of retries. */
  readonly max?: number;
}

const DEFAULT_SHARE = 0.1;
const DEFAULT_MAX = 20;

/**
 * Allows retries as long as enough successes have earned them.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget({ share: 0.1, max: 5 });
 * budget.trySpend(); // true
 * ```
 */
export class RetryBudget {
  readonly #share: number;
  readonly #max: number;
  #balance: number;

  /** Creates a full budget. */
  constructor(options: RetryBudgetOptions = {}) {
    this.#share = options.share ?? DEFAULT_SHARE;
    this.#max = options.max ?? DEFAULT_MAX;
    this.#balance = this.#max;
  }

  /** Adds the retries earned by a success. */
  onSuccess(): this {
    this.#balance = Math.min(this.#max, this.#balance + this.#share);
    return this;
  }

  /** Spends one retry; returns false if the balance is below 1. */
  trySpend(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
