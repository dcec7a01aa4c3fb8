/** Judges how attempts of a call ended. */
import type { AttemptOutcome } from "./target_port.ts";

const MIN_ERROR_STATUS = 500;

/** Gets whether a status says that the target ran the call and failed. */
export function isErrorStatus(status: number): boolean {
  return status >= MIN_ERROR_STATUS;
}

/** Gets whether an attempt failed, or another process or an error answered. */
export function isFailure(outcome: AttemptOutcome): boolean {
  if (outcome.type === "failed") return true;
  return outcome.isMisdirected || isErrorStatus(outcome.answer.status);
}

/** Gets whether the call was not sent after its target was chosen. */
export function isWithheld(outcome: AttemptOutcome): boolean {
  return outcome.type === "failed" && outcome.withheld !== undefined;
}

/** Gets whether the target that was meant states that it did not run the call. */
export function isRefusal(outcome: AttemptOutcome): boolean {
  return outcome.type === "answered" && outcome.isNotRun &&
    !outcome.isMisdirected;
}
