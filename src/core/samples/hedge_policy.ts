/** Selects the straggling samples of a step for hedging. */

/** State of a running attempt that hedging depends on. */
export interface RunningAttempt {
  /** Index of the slot that the attempt is to fill. */
  readonly slot: number;
  /** Time since the attempt was placed, in milliseconds. */
  readonly ageMs: number;
  /** Whether the slot has already been hedged. */
  readonly isHedged: boolean;
  /** Time per token of its target relative to the fastest target. */
  readonly slowdown: number;
}

/** Input of {@link chooseHedges}. */
export interface HedgeInput {
  /** Number of samples of the step. */
  readonly total: number;
  /** Number of completed samples, delivered ones included. */
  readonly completed: number;
  /** Number of samples that wait for a target. */
  readonly waiting: number;
  /** Number of hedges so far. */
  readonly hedges: number;
  /** Median duration of finished attempts, in milliseconds, if any. */
  readonly medianMs: number | undefined;
  /** Running attempts. */
  readonly running: readonly RunningAttempt[];
}

/** Maximum share of a step's samples that are hedged. */
const MAX_HEDGE_SHARE = 0.1;
/** Number of hedges allowed whatever the size of the step. */
const MIN_HEDGES = 1;
/** Share of a step that must be completed before hedging begins. */
const COMPLETED_SHARE = 0.8;
/** Minimum age of a straggler, in median durations. */
const STRAGGLER_FACTOR = 1.5;
/** Minimum slowdown of a target whose attempts all count as stragglers. */
const SLOW_TARGET_FACTOR = 2;

/**
 * Gets the slots to hedge, ordered by slowdown of the target, then by age.
 *
 * @example
 * ```ts
 * chooseHedges({
 *   total: 10,
 *   completed: 9,
 *   waiting: 0,
 *   hedges: 0,
 *   medianMs: 100,
 *   running: [{ slot: 9, ageMs: 400, isHedged: false, slowdown: 1 }],
 * }); // [9]
 * ```
 */
export function chooseHedges(input: HedgeInput): number[] {
  const { total, completed, medianMs } = input;
  if (medianMs === undefined || input.waiting > 0) return [];
  if (completed < total * COMPLETED_SHARE) return [];
  const maxHedges = Math.max(MIN_HEDGES, Math.floor(total * MAX_HEDGE_SHARE));
  return input.running
    .filter((attempt) => !attempt.isHedged)
    .filter((attempt) =>
      attempt.slowdown >= SLOW_TARGET_FACTOR ||
      attempt.ageMs >= medianMs * STRAGGLER_FACTOR
    )
    .sort((a, b) => b.slowdown - a.slowdown || b.ageMs - a.ageMs)
    .slice(0, Math.max(0, maxHedges - input.hedges))
    .map((attempt) => attempt.slot);
}
