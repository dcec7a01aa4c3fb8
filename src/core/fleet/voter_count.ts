/** Decides how many replicas of a log are voters. */

/**
 * Gets the number of voters among a number of replicas: the greatest odd
 * number.
 *
 * An even number of voters tolerates no more failures than the odd number below
 * it, and a split into two halves would leave neither with a quorum.
 *
 * @example
 * ```ts
 * wantedVoters(4); // 3
 * ```
 */
export function wantedVoters(replicas: number): number {
  return Math.max(1, replicas % 2 === 0 ? replicas - 1 : replicas);
}
