/** Selects the targets that load new weights now. */

/** State of a target that the plan depends on. */
export interface SwapTarget {
  /** Identifier of the target. */
  readonly id: string;
  /** Version of the loaded weights; undefined if not yet reported. */
  readonly version: number | undefined;
  /** Whether the target is loading weights. */
  readonly isSwapping: boolean;
  /** Whether the target accepts work. */
  readonly isServing: boolean;
  /** Number of requests in flight. */
  readonly inFlight: number;
  /** Earliest time of the next swap, as after a failed one; milliseconds. */
  readonly notBefore: number;
}

/** Input of {@link planSwaps}. */
export interface SwapInput {
  /** Targets of one model. */
  readonly targets: readonly SwapTarget[];
  /** Newest announced version. */
  readonly newest: number;
  /** Maximum share of targets that load at once, from 0 to 1. */
  readonly maxSwapShare: number;
  /** Maximum number of concurrent fetches from the weight store. */
  readonly maxFetches: number;
  /** Current time, in milliseconds. */
  readonly now: number;
}

/**
 * Gets the targets to swap now, ordered by oldest weights, then by least
 * load. The share always allows one target, so that a single one swaps too.
 *
 * @example
 * ```ts
 * for (const id of planSwaps(input)) order(id, input.newest);
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
