/** Decides whether a failed attempt may be made again. */
import { Verdict } from "../verdict/mod.ts";

/** What the decision looks at. */
export interface RetryInput {
  /** Verdict of the failed attempt. */
  readonly verdict: Verdict;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  /** Whether a byte of the answer has reached the caller. */
  readonly hasAnswered: boolean;
  /** Attempts made, the failed one included. */
  readonly attempts: number;
  /** Attempts allowed. */
  readonly maxAttempts: number;
}

/** Reason for which a retry is made or not made. */
export const RetryDecision = {
  RetryNotRun: "retryNotRun",
  RetryIdempotent: "retryIdempotent",
  StopMayHaveRun: "stopMayHaveRun",
  StopAnswered: "stopAnswered",
  StopAttempts: "stopAttempts",
} as const;

/** One of the values of {@link RetryDecision}. */
export type RetryDecision = typeof RetryDecision[keyof typeof RetryDecision];

const FIRST_DELAY_MS = 20;
const MAX_DELAY_MS = 2_000;

/**
 * Decides about a retry; a request that may have run is only repeated where
 * its route is idempotent.
 *
 * @example
 * ```ts
 * decideRetry({
 *   verdict: "mayHaveRun", idempotent: false, hasAnswered: false,
 *   attempts: 1, maxAttempts: 3,
 * }); // "stopMayHaveRun"
 * ```
 */
export function decideRetry(input: RetryInput): RetryDecision {
  if (input.hasAnswered) return RetryDecision.StopAnswered;
  const hasNotRun = input.verdict === Verdict.NotRun;
  if (!hasNotRun && !input.idempotent) return RetryDecision.StopMayHaveRun;
  if (input.attempts >= input.maxAttempts) {
    return RetryDecision.StopAttempts;
  }
  return hasNotRun ? RetryDecision.RetryNotRun : RetryDecision.RetryIdempotent;
}

/** Gets whether a decision asks for another attempt. */
export function isRetry(decision: RetryDecision): boolean {
  return decision === RetryDecision.RetryNotRun ||
    decision === RetryDecision.RetryIdempotent;
}

/**
 * Gets the delay before an attempt: exponential with full jitter.
 * @param attempts - Attempts made so far, 1 or more.
 * @param random - Number from 0 to 1.
 */
export function backoffMs(attempts: number, random: number): number {
  const ceiling = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** attempts);
  return ceiling * random;
}
