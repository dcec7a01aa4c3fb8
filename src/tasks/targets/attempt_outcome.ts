/** What the result of an exchange means for the job that it ran. */
import type { AttemptOutcome } from "../../core/dispatch/mod.ts";
import { RefusalReason, Verdict } from "../../core/verdict/mod.ts";
import type { ExchangeResult } from "./exchange.ts";
import type { JobSink } from "./job.ts";

/**
 * Gets the outcome of an attempt. A failed one ran if any part of its response
 * went to the caller; one that the target refused is no fault of the target.
 * @example
 * const outcome = toAttemptOutcome(await exchange.run(connections), sink);
 */
export function toAttemptOutcome(
  result: ExchangeResult,
  sink: Pick<JobSink, "hasResponded" | "tokens">,
): AttemptOutcome {
  if (result.type === "whole") {
    return { type: "completed", tokens: sink.tokens };
  }
  if (result.type === "aborted") return { type: "cancelled" };
  const isRefused = result.reason === RefusalReason.TargetRefused;
  return {
    type: "failed",
    reason: result.reason,
    verdict: sink.hasResponded ? Verdict.Ran : result.verdict,
    hasResponded: sink.hasResponded,
    isOverload: isRefused,
    isTargetFault: !isRefused,
    retryAfterMs: result.retryAfterMs,
  };
}
