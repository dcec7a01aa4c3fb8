/** Policy for retrying failed attempts. */
import { Verdict } from "../verdict/mod.ts";

/** Input of {@link decideRetry}. */
export interface RetryInput {
  /** Combined verdict of the attempts so far. */
  readonly verdict: Verdict;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  /** Whether any byte of the response has been sent to the caller. */
  readonly hasResponded: boolean;
  /** Number of attempts, including the failed one. */
  readonly attempts: number;
  /** Maximum number of attempts. */
  readonly maxAttempts: number;
}

/** Decisions on a retry, with their reason. */
export const RetryDecision = {
  RetryNotRun: "retryNotRun",
  RetryIdempotent: "retryIdempotent",
  StopMayHaveRun: "stopMayHaveRun",
  StopAnswered: "stopAnswered",
  StopAttempts: "stopAttempts",
} as const;

/** One of the values of {@link RetryDecision}. */
export type RetryDecision = typeof RetryDecision[keyof typeof RetryDecision];

/** An attempt is started only with more than this time remaining. */
export const MIN_ATTEMPT_MS = 30;
/**
 * Time before the route's or the caller's timeout at which a call ends, so that
 * its response or refusal is sent before that timeout.
 */
export const RESPONSE_MARGIN_MS = 40;

const FIRST_DELAY_MS = 20;
const MAX_DELAY_MS = 2_000;

/**
 * Decides whether to retry a failed request. A request that may have run is
 * retried only if it is idempotent.
 *
 * @example
 * ```ts
 * decideRetry({
 *   verdict: "mayHaveRun", idempotent: false, hasResponded: false,
 *   attempts: 1, maxAttempts: 3,
 * }); // "stopMayHaveRun"
 * ```
 */
export function decideRetry(input: RetryInput): RetryDecision {
  if (input.hasResponded) return RetryDecision.StopAnswered;
  const hasNotRun = input.verdict === Verdict.NotRun;
  if (!hasNotRun && !input.idempotent) return RetryDecision.StopMayHaveRun;
  if (input.attempts >= input.maxAttempts) {
    return RetryDecision.StopAttempts;
  }
  return hasNotRun ? RetryDecision.RetryNotRun : RetryDecision.RetryIdempotent;
}

/** Gets whether a decision allows another attempt. */
export function isRetry(decision: RetryDecision): boolean {
  return decision === RetryDecision.RetryNotRun ||
    decision === RetryDecision.RetryIdempotent;
}

/**
 * Gets the delay before a retry, in milliseconds: exponential backoff with
 * full jitter.
 * @param attempts - Number of attempts so far, 1 or more.
 * @param random - Number from 0 to 1.
 */
export function backoffMs(attempts: number, random: number): number {
  const ceiling = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** attempts);
  return ceiling * random;
}
