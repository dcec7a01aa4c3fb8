/** How long a call waits for the policy lease. */

/**
 * Fraction of a call's time for which it waits for the policy lease. The rest is
 * for the targets, or for the caller to come back.
 */
const LEASE_WAIT_FRACTION = 3 / 4;
/**
 * Longest wait of a call for the policy lease, in milliseconds: that of the start
 * of all control instances and an election, on a busy machine.
 */
const MAX_LEASE_WAIT_MS = 2_000;

/**
 * Gets the longest time that a call waits for the lease, in milliseconds.
 *
 * @param leftMs - Time that the call has left, in milliseconds.
 * @example
 * ```ts
 * leaseWaitMs(1_000); // 750
 * ```
 */
export function leaseWaitMs(leftMs: number): number {
  return Math.min(leftMs * LEASE_WAIT_FRACTION, MAX_LEASE_WAIT_MS);
}
