/** Pending proposals to a replicated log. */
import { type RefusalError, Verdict } from "../../core/verdict/mod.ts";

/** Position of a proposal in a log. */
export interface ProposedPosition {
  readonly index: number;
  readonly term: number;
}

interface Waiter<A> {
  readonly term: number;
  readonly resolve: (result: A) => void;
  readonly reject: (err: Error) => void;
}

/** Time after which a proposal that has not been applied is rejected. */
export const PROPOSE_TIMEOUT_MS = 4_000;

/**
 * Resolves proposals with their results, or rejects them with a verdict.
 *
 * A proposal is identified by its position in the log: it has been applied once
 * the entry at its index is applied with the same term.
 */
export class ProposalWaiters<A> {
  readonly #createRefusal: (verdict: Verdict) => RefusalError;
  readonly #waiters = new Map<number, Waiter<A>>();

  /** @param createRefusal - Creates the error of a rejected proposal. */
  constructor(createRefusal: (verdict: Verdict) => RefusalError) {
    this.#createRefusal = createRefusal;
  }

  /**
   * Waits until a proposal is applied.
   * @throws RefusalError with verdict `notRun` if it will never be applied, or
   *     `mayHaveRun` if it may still be.
   */
  waitUntilApplied({ index, term }: ProposedPosition): Promise<A> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.#waiters.delete(index);
        reject(this.#createRefusal(Verdict.MayHaveRun));
      }, PROPOSE_TIMEOUT_MS);
      this.#waiters.set(index, {
        term,
        resolve: (result) => {
          clearTimeout(timer);
          resolve(result);
        },
        reject: (err) => {
          clearTimeout(timer);
          reject(err);
        },
      });
    });
  }

  /**
   * Settles the proposal at the position of an applied entry. If the entry has
   * another term, the proposal was overwritten and will never be applied.
   * @param result - Result of the command; undefined for other entries.
   */
  onApplied({ index, term }: ProposedPosition, result: A | undefined): void {
    const waiter = this.#waiters.get(index);
    if (waiter === undefined) return;
    this.#waiters.delete(index);
    const isOwn = waiter.term === term && result !== undefined;
    if (isOwn) waiter.resolve(result);
    else waiter.reject(this.#createRefusal(Verdict.NotRun));
  }

  /**
   * Rejects all proposals when leadership is lost. A later leader may still
   * apply their entries.
   */
  rejectAll(): void {
    const waiters = [...this.#waiters.values()];
    this.#waiters.clear();
    for (const waiter of waiters) {
      waiter.reject(this.#createRefusal(Verdict.MayHaveRun));
    }
  }
}
