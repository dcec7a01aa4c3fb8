/** Decides which stragglers of a step are run a second time. */

/** A running attempt, as the decision sees it. */
export interface RunningAttempt {
  /** Slot that it fills. */
  readonly slot: number;
  /** Time since it was placed, in milliseconds. */
  readonly ageMs: number;
  /** Whether the slot has been hedged already. */
  readonly isHedged: boolean;
  /** Time of a token at its target against that at the fastest one. */
  readonly slowdown: number;
}

/** What the decision looks at. */
export interface HedgeInput {
  /** Samples of the step. */
  readonly total: number;
  /** Samples made or delivered. */
  readonly completed: number;
  /** Samples that wait for a target. */
  readonly waiting: number;
  /** Hedges made so far. */
  readonly hedges: number;
  /** Durations of finished attempts, in milliseconds. */
  readonly typicalMs: number | undefined;
  /** Attempts that run now. */
  readonly running: readonly RunningAttempt[];
}

/** Part of a step's samples that may be hedged. */
const MAX_HEDGE_SHARE = 0.1;
/** Hedges allowed for a small step. */
const MIN_HEDGES = 1;
/** Part of a step that must be made before hedging begins. */
const COMPLETED_SHARE = 0.8;
/** Age of a straggler, in typical durations. */
const STRAGGLER_FACTOR = 1.5;
/** Slowdown of a target whose attempts are stragglers from the start. */
const SLOW_TARGET_FACTOR = 2;

/**
 * Gets the slots to hedge: those on the slowest targets first, then the
 * oldest.
 *
 * @example
 * ```ts
 * chooseHedges({ total: 10, made: 9, waiting: 0, hedges: 0, typicalMs: 100,
 *   running: [{ slot: 9, ageMs: 400, isHedged: false,
 *     slowdown: 1 }] }); // [9]
 * ```
 */
export function chooseHedges(input: HedgeInput): number[] {
  const { total, completed: made, typicalMs } = input;
  if (typicalMs === undefined || input.waiting > 0) return [];
  if (made < total * COMPLETED_SHARE) return [];
  const budget = Math.max(MIN_HEDGES, Math.floor(total * MAX_HEDGE_SHARE));
  return input.running
    .filter((attempt) => !attempt.isHedged)
    .filter((attempt) =>
      attempt.slowdown >= SLOW_TARGET_FACTOR ||
      attempt.ageMs >= typicalMs * STRAGGLER_FACTOR
    )
    .sort((a, b) => b.slowdown - a.slowdown || b.ageMs - a.ageMs)
    .slice(0, Math.max(0, budget - input.hedges))
    .map((attempt) => attempt.slot);
}
