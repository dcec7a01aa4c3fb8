/** Those who wait until their proposals are applied. */
import { type RefusalError, Verdict } from "../../core/verdict/mod.ts";

/** Where a proposal stands in a log. */
export interface ProposedPosition {
  readonly index: number;
  readonly term: number;
}

interface Waiter<A> {
  readonly term: number;
  readonly resolve: (answer: A) => void;
  readonly reject: (err: Error) => void;
}

/** Time after which a proposal that was not applied is given up. */
export const PROPOSE_TIMEOUT_MS = 4_000;

/**
 * Answers proposals with their outcome, or says whether they may be applied.
 *
 * @example
 * ```ts
 * const waiters = new ProposalWaiters<Answer>(unavailable);
 * const answer = await waiters.wait({ index, term });
 * ```
 */
export class ProposalWaiters<A> {
  readonly #createRefusal: (verdict: Verdict) => RefusalError;
  readonly #waiters = new Map<number, Waiter<A>>();

  /** Creates an empty set; it refuses with the errors that are created. */
  constructor(createRefusal: (verdict: Verdict) => RefusalError) {
    this.#createRefusal = createRefusal;
  }

  /**
   * Waits until a proposal is applied.
   * @throws RefusalError with verdict `notRun` where it will never be applied,
   * and `mayHaveRun` where that is open.
   */
  wait({ index, term }: ProposedPosition): Promise<A> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.#waiters.delete(index);
        reject(this.#createRefusal(Verdict.MayHaveRun));
      }, PROPOSE_TIMEOUT_MS);
      this.#waiters.set(index, {
        term,
        resolve: (answer) => {
          clearTimeout(timer);
          resolve(answer);
        },
        reject: (err) => {
          clearTimeout(timer);
          reject(err);
        },
      });
    });
  }

  /**
   * Takes an applied entry.
   * @param answer - Answer to its command; undefined for other entries.
   */
  onApplied({ index, term }: ProposedPosition, answer: A | undefined): void {
    const waiter = this.#waiters.get(index);
    if (waiter === undefined) return;
    this.#waiters.delete(index);
    const isOwn = waiter.term === term && answer !== undefined;
    if (isOwn) waiter.resolve(answer);
    else waiter.reject(this.#createRefusal(Verdict.NotRun));
  }

  /** Refuses all, as when the lead is lost: their entries may be applied. */
  rejectAll(): void {
    const waiters = [...this.#waiters.values()];
    this.#waiters.clear();
    for (const waiter of waiters) {
      waiter.reject(this.#createRefusal(Verdict.MayHaveRun));
    }
  }
}
