/** Retry delays that do not bring callers back at the same time. */
import { createHash } from "node:crypto";

/** Minimum delay that is named to a caller, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 300;
/** Maximum delay that is named to a caller, in milliseconds. */
export const MAX_RETRY_AFTER_MS = 10_000;
/** Part of a delay by which it is lengthened at most. */
const SPREAD_SHARE = 0.25;
/** Number of values of the hash, of 32 bits. */
const HASH_VALUES = 2 ** 32;

/**
 * Lengthens a delay by up to a quarter, by a hash of the request, and bounds it.
 * The same request always gets the same delay for the same wait.
 *
 * @example
 * ```ts
 * spreadRetryAfterMs(2_000, "batch-1"); // from 2000 to 2500
 * ```
 */
export function spreadRetryAfterMs(waitMs: number, key: string): number {
  // Bounded before it is spread, or long waits would all end at the maximum.
  const longestMs = MAX_RETRY_AFTER_MS / (1 + SPREAD_SHARE);
  const boundedMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(longestMs, waitMs));
  return Math.round(boundedMs * (1 + SPREAD_SHARE * hashToUnit(key)));
}

/** Hashes a text to a number in the range [0, 1). */
function hashToUnit(text: string): number {
  const digest = createHash("sha256").update(text).digest();
  return digest.readUInt32BE() / HASH_VALUES;
}
