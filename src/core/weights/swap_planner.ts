/** Decides which targets load new weights now. */

/** A target, as the decision sees it. */
export interface SwapTarget {
  /** Identifier. */
  readonly id: string;
  /** Version of the loaded weights; undefined before it has said one. */
  readonly version: number | undefined;
  /** Whether it loads weights now. */
  readonly isSwapping: boolean;
  /** Whether it takes work. */
  readonly isServing: boolean;
  /** Requests in flight. */
  readonly inFlight: number;
  /** Time before which it is not ordered again, as after a failed swap. */
  readonly notBefore: number;
}

/** What the decision looks at. */
export interface SwapInput {
  /** Targets of one model. */
  readonly targets: readonly SwapTarget[];
  /** Newest announced version. */
  readonly newest: number;
  /** Part of the targets that may be out at once, from 0 to 1. */
  readonly maxSwapShare: number;
  /** Fetches that the weight store's rate allows at once. */
  readonly maxFetches: number;
  /** Current time, in milliseconds. */
  readonly now: number;
}

/**
 * Gets the targets to order now: those with the oldest weights first, then
 * those with the least work.
 *
 * @example
 * ```ts
 * for (const id of planSwaps(question)) order(id, question.newest);
 * ```
 */
export function planSwaps(input: SwapInput): string[] {
  const { targets, newest, maxSwapShare, maxFetches, now } = input;
  const swapping = targets.filter((t) => t.isSwapping).length;
  const serving = targets.filter((t) => t.isServing).length;
  const total = swapping + serving;
  const maxOut = Math.max(1, Math.floor(total * maxSwapShare));
  const allowed = Math.min(maxOut, maxFetches) - swapping;
  return targets
    .filter((t) => t.isServing && !t.isSwapping && t.notBefore <= now)
    .filter((t) => (t.version ?? -1) < newest)
    .sort((a, b) =>
      (a.version ?? -1) - (b.version ?? -1) || a.inFlight - b.inFlight
    )
    .slice(0, Math.max(0, allowed))
    .map((t) => t.id);
}
