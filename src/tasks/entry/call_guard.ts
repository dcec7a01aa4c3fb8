/**
 * The interface that ensures that calls with an idempotency key run at most
 * once.
 */
import type { CallKey, StoredResponse } from "../../core/ledger/mod.ts";
import type { Verdict } from "../../core/verdict/mod.ts";

/** Decision on a call with an idempotency key: run it, or replay a response. */
export type CallAdmission =
  | { readonly type: "run" }
  | { readonly type: "answer"; readonly answer: StoredResponse };

/** Request to run a call. */
export interface CallStart {
  /** Workspace and idempotency key of the call. */
  readonly key: CallKey;
  /** Hash of the request, which must be the same for all attempts. */
  readonly fingerprint: string;
  /** Process that will run the call. */
  readonly owner: string;
}

/** Access to the call guard of a data centre, on whichever instance it is. */
export interface CallGuard {
  /**
   * Records the start of a call, or gets the stored response of its first
   * attempt.
   */
  admit(start: CallStart): Promise<CallAdmission>;
  /** Records the response of a call. */
  finish(key: CallKey, answer: StoredResponse): Promise<void>;
  /**
   * Records that a call failed. It may be started again only with verdict
   * `notRun`.
   */
  fail(key: CallKey, verdict: Verdict): Promise<void>;
}
