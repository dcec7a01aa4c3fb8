/** Runs calls with an idempotency key at most once. */
import type { CallKey, StoredAnswer } from "../../core/ledger/mod.ts";
import { InvariantError } from "../../core/invariants/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { LedgerPort } from "../ledger/ledger_port.ts";
import type { CallAdmission, CallGuard, CallStart } from "./call_guard.ts";

/** Options of {@link CallOnce}. */
export interface CallOnceOptions {
  /** Ledger of the data centre. */
  readonly ledger: LedgerPort;
  /** Gets the time, in milliseconds since the epoch. */
  readonly now: () => number;
}

/** Time after which a caller asks again for a running call. */
const STILL_RUNNING_RETRY_MS = 1_000;

/** Asks the ledger before a call runs, and tells it how it ended. */
export class CallOnce implements CallGuard {
  readonly #options: CallOnceOptions;

  /** Creates the guard. */
  constructor(options: CallOnceOptions) {
    this.#options = options;
  }

  /**
   * Records the start of a call, or gets its first answer.
   * @throws RefusalError where it runs already, or has another content.
   */
  async admit(start: CallStart): Promise<CallAdmission> {
    const { ledger, now } = this.#options;
    const { key, fingerprint, owner } = start;
    const known = this.#known(start);
    if (known !== undefined) return known;
    try {
      await ledger.append({
        type: "callStarted",
        ...key,
        fingerprint,
        owner,
        at: now(),
      });
      return { type: "run" };
    } catch (err) {
      if (!(err instanceof InvariantError)) throw err;
      return this.#known(start) ?? stillRunning();
    }
  }

  /** Records the answer of a call. */
  finish(key: CallKey, answer: StoredAnswer): Promise<void> {
    return this.#options.ledger.append({
      type: "callFinished",
      ...key,
      answer,
    });
  }

  /** Records how a call failed: it may be started anew only if it never ran. */
  fail(key: CallKey, verdict: Verdict): Promise<void> {
    const type = verdict === Verdict.NotRun ? "callNotRun" : "callLost";
    return this.#options.ledger.append({ type, ...key });
  }

  /** Records that the calls of processes that are gone have no answer. */
  async loseCallsOf(isGone: (owner: string) => boolean): Promise<void> {
    const { ledger } = this.#options;
    for (const { key, owner } of ledger.state.calls.running()) {
      if (isGone(owner)) await ledger.append({ type: "callLost", ...key });
    }
  }

  #known(start: CallStart): CallAdmission | undefined {
    const call = this.#options.ledger.state.calls.get(start.key);
    if (call === undefined) return undefined;
    if (call.fingerprint !== start.fingerprint) {
      throw new RefusalError(
        RefusalReason.IdempotencyConflict,
        Verdict.NotRun,
        { message: "Another request was sent under this idempotency key" },
      );
    }
    if (call.type === "finished") {
      return { type: "answer", answer: call.answer };
    }
    if (call.type === "running") return stillRunning();
    throw new RefusalError(RefusalReason.TargetFailed, Verdict.MayHaveRun, {
      message: "The first attempt may have run; its answer is lost",
    });
  }
}

function stillRunning(): never {
  throw new RefusalError(RefusalReason.StillRunning, Verdict.MayHaveRun, {
    message: "The first attempt is still running",
    retryAfterMs: STILL_RUNNING_RETRY_MS,
  });
}
