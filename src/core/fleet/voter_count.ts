/** Decides how many replicas of a log vote. */

/**
 * Gets the number of voters among some replicas: the greatest odd number.
 *
 * With an even number one more loss would not be borne, and a split into
 * halves would leave no side with a quorum.
 *
 * @example
 * ```ts
 * wantedVoters(4); // 3
 * ```
 */
export function wantedVoters(replicas: number): number {
  return Math.max(1, replicas % 2 === 0 ? replicas - 1 : replicas);
}
