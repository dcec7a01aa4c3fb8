/** The refusal of a call that no target has completed. */
import type { OutputWriter } from "../../core/continuation/mod.ts";
import { spreadRetryAfterMs } from "../../core/retry/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import { WithheldReason } from "../send_guard.ts";

/** Input of {@link createCallRefusal}. */
export interface CallRefusalInput {
  readonly verdict: Verdict;
  /** Why the last attempt was not sent; undefined if it was. */
  readonly withheld: WithheldReason | undefined;
  /** Whether no time is left for another attempt. */
  readonly isLate: boolean;
  /** Time until a limited target has a permit, if one was missing. */
  readonly permitAfterMs: number | undefined;
  /** Time until the call may be tried, if it is under suspicion and was not. */
  readonly trialAfterMs: number | undefined;
  /** Whether no target is in a region in which the call may run. */
  readonly isOutsideHomes: boolean;
  /** Who wrote the events that the caller holds; undefined if it holds none. */
  readonly written: OutputWriter | undefined;
  /** Detail of the last attempt that failed; empty if there was none. */
  readonly lastFailure: string;
  /** Identifier of the call. */
  readonly call: string;
  /**
   * Time in which the targets complete what they hold, if all of them refused
   * the call as full; undefined if that is not so, or the time not known.
   */
  readonly drainMs: number | undefined;
}

const RETRY_AFTER_MS = 300;
/** Retry delay of a call without a target in a region allowed to it. */
const HOME_RETRY_AFTER_MS = 1_000;
/** Retry delay of a stream whose version no target has. */
const STRANDED_RETRY_AFTER_MS = 1_000;

/** Creates the refusal, with a retry delay if the call has not run. */
export function createCallRefusal(input: CallRefusalInput): RefusalError {
  const { verdict, isLate, permitAfterMs, lastFailure, written } = input;
  const { trialAfterMs, isOutsideHomes, withheld } = input;
  if (
    verdict === Verdict.NotRun && withheld === WithheldReason.KeyWithdrawn
  ) {
    return new RefusalError(RefusalReason.KeyWithdrawn, verdict);
  }
  if (verdict === Verdict.NotRun && isOutsideHomes) {
    return new RefusalError(RefusalReason.HomeUnavailable, verdict, {
      message: "No target is in a region in which the request may run",
      retryAfterMs: HOME_RETRY_AFTER_MS,
    });
  }
  if (trialAfterMs !== undefined) {
    return new RefusalError(RefusalReason.Suspected, verdict, {
      message: "A target ended under this request; it waits to be tried",
      retryAfterMs: trialAfterMs,
    });
  }
  if (verdict === Verdict.NotRun && written !== undefined) {
    return new RefusalError(RefusalReason.StreamStranded, verdict, {
      message: lastFailure || "No target has the version that began the stream",
      retryAfterMs: STRANDED_RETRY_AFTER_MS,
    });
  }
  if (verdict === Verdict.NotRun) {
    const isAtLimit = permitAfterMs !== undefined;
    const fullAfterMs = input.drainMs === undefined
      ? RETRY_AFTER_MS
      : spreadRetryAfterMs(input.drainMs, input.call);
    return new RefusalError(RefusalReason.NoTarget, Verdict.NotRun, {
      message: isAtLimit
        ? "All targets are at the limit that they name"
        : lastFailure || "No target takes the call",
      retryAfterMs: Math.max(fullAfterMs, permitAfterMs ?? 0),
    });
  }
  const reason = isLate
    ? RefusalReason.TargetTimeout
    : RefusalReason.TargetFailed;
  return new RefusalError(reason, verdict, { message: lastFailure });
}
