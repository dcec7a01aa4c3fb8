/** Decides whether a run ends earlier at another target. */

/** Input of {@link mayMoveRun}. */
export interface RunMoveInput {
  /** Expected time to the end where the run is, in milliseconds. */
  readonly stayMs: number;
  /**
   * Expected time to the end at the other target, in milliseconds, with the
   * prompt that it reads.
   */
  readonly moveMs: number;
}

/** Input of {@link expectedStayMs}. */
export interface StayInput {
  readonly remainingEvents: number;
  /** Time per event now, in milliseconds. */
  readonly recentMs: number;
  /** Long-run time per event, in milliseconds. */
  readonly inherentMs: number;
}

/** Time in which a degraded target is expected to recover. */
const RECOVERY_MS = 5_000;
/** Share of the time of a run that a move must save. */
const MIN_SAVED_SHARE = 0.3;
/** Time that a move must save at least, in milliseconds. */
const MIN_SAVED_MS = 200;

/**
 * Gets the expected time to the end of a run that stays at a degraded target, in
 * milliseconds. The target recovers after a while, so a long run is not at the
 * current pace for all of its remainder.
 *
 * @example
 * ```ts
 * expectedStayMs({ remainingEvents: 10, recentMs: 200, inherentMs: 20 });
 * ```
 */
export function expectedStayMs(input: StayInput): number {
  const { remainingEvents, recentMs, inherentMs } = input;
  const atRecentMs = remainingEvents * recentMs;
  if (atRecentMs <= RECOVERY_MS) return atRecentMs;
  const eventsMeanwhile = RECOVERY_MS / recentMs;
  return RECOVERY_MS + (remainingEvents - eventsMeanwhile) * inherentMs;
}

/**
 * Gets whether a move ends a run earlier by a clear margin.
 *
 * @example
 * ```ts
 * mayMoveRun({ stayMs: 2_000, moveMs: 500 }); // true
 * ```
 */
export function mayMoveRun({ stayMs, moveMs }: RunMoveInput): boolean {
  const savedMs = stayMs - moveMs;
  return savedMs >= Math.max(MIN_SAVED_MS, MIN_SAVED_SHARE * stayMs);
}
