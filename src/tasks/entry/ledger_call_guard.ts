/** The call guard on the ledger primary. */
import type { CallKey, StoredResponse } from "../../core/ledger/mod.ts";
import { InvariantError } from "../../core/invariants/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { LedgerPort } from "../ledger/ledger_port.ts";
import type { CallAdmission, CallGuard, CallStart } from "./call_guard.ts";

/** Options of {@link LedgerCallGuard}. */
export interface LedgerCallGuardOptions {
  readonly ledger: LedgerPort;
  /** Gets the current time, in milliseconds since the epoch. */
  readonly now: () => number;
}

/** Retry delay for the caller of a call that is still running. */
const STILL_RUNNING_RETRY_AFTER_MS = 1_000;

/**
 * Runs calls with an idempotency key at most once, by recording their start and
 * their outcome in the ledger.
 */
export class LedgerCallGuard implements CallGuard {
  readonly #options: LedgerCallGuardOptions;

  constructor(options: LedgerCallGuardOptions) {
    this.#options = options;
  }

  /**
   * Records the start of a call, or gets the stored response of its first
   * attempt.
   * @throws RefusalError if the first attempt is still running or its response
   * was lost, or if it was a different request.
   */
  async admit(start: CallStart): Promise<CallAdmission> {
    const { ledger, now } = this.#options;
    const { key, fingerprint, owner } = start;
    const admission = this.#findAdmission(start);
    if (admission !== undefined) return admission;
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
      return this.#findAdmission(start) ?? throwStillRunning();
    }
  }

  /** Records the response of a call. */
  finish(key: CallKey, answer: StoredResponse): Promise<void> {
    return this.#options.ledger.append({
      type: "callFinished",
      ...key,
      answer,
    });
  }

  /**
   * Records that a call failed. It may be started again only with verdict
   * `notRun`.
   */
  fail(key: CallKey, verdict: Verdict): Promise<void> {
    const type = verdict === Verdict.NotRun ? "callNotRun" : "callLost";
    return this.#options.ledger.append({ type, ...key });
  }

  /**
   * Records the running calls of exited processes as lost.
   * @param hasExited - Gets whether the process that owns a call has exited.
   */
  async failCallsOf(hasExited: (owner: string) => boolean): Promise<void> {
    const { ledger } = this.#options;
    for (const { key, owner } of ledger.state.calls.running()) {
      if (hasExited(owner)) await ledger.append({ type: "callLost", ...key });
    }
  }

  #findAdmission(start: CallStart): CallAdmission | undefined {
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
    if (call.type === "running") return throwStillRunning();
    throw new RefusalError(RefusalReason.TargetFailed, Verdict.MayHaveRun, {
      message: "The first attempt may have run; its answer is lost",
    });
  }
}

function throwStillRunning(): never {
  throw new RefusalError(RefusalReason.StillRunning, Verdict.MayHaveRun, {
    message: "The first attempt is still running",
    retryAfterMs: STILL_RUNNING_RETRY_AFTER_MS,
  });
}
