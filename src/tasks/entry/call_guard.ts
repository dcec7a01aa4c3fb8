/** What the entry needs to run calls at most once. */
import type { CallKey, StoredAnswer } from "../../core/ledger/mod.ts";
import type { Verdict } from "../../core/verdict/mod.ts";

/** What a call under an idempotency key is to do. */
export type CallAdmission =
  | { readonly type: "run" }
  | { readonly type: "answer"; readonly answer: StoredAnswer };

/** A call that asks to run. */
export interface CallStart {
  /** Idempotency key of the caller. */
  readonly key: CallKey;
  /** Hash of the request. */
  readonly fingerprint: string;
  /** Process that will run it. */
  readonly owner: string;
}

/** Access to the guard of the data centre, wherever it is. */
export interface CallGuard {
  /** Records the start of a call, or gets its first answer. */
  admit(start: CallStart): Promise<CallAdmission>;
  /** Records the answer of a call. */
  finish(key: CallKey, answer: StoredAnswer): Promise<void>;
  /** Records how a call failed: it may be started anew only if it never ran. */
  fail(key: CallKey, verdict: Verdict): Promise<void>;
}
