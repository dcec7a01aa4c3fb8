/** Forwards requests to the call guard at the ledger primary. */
import type { CallKey, StoredResponse } from "../../core/ledger/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { LedgerPort } from "../ledger/ledger_port.ts";
import { PrimaryClient } from "../ledger/primary_client.ts";
import type { PeerHub } from "../peers/mod.ts";
import type { CallAdmission, CallGuard, CallStart } from "./call_guard.ts";

/** Options of {@link CallForwarder}. */
export interface CallForwarderOptions {
  readonly ledger: LedgerPort;
  /** Call guard of this instance, used while it is the ledger primary. */
  readonly local: CallGuard;
  /** Connections to the peers. */
  readonly hub: PeerHub;
}

interface FinishParams {
  readonly key: CallKey;
  readonly answer: StoredResponse;
}

interface FailParams {
  readonly key: CallKey;
  readonly verdict: Verdict;
}

const REQUEST_TIMEOUT_MS = 5_000;
const RETRY_INTERVAL_MS = 1_000;
/** Maximum number of background attempts to report the outcome of a call. */
const MAX_RETRIES = 30;

/**
 * Uses the local call guard while this instance is the ledger primary, or else
 * the guard of the primary.
 */
export class CallForwarder implements CallGuard {
  readonly #options: CallForwarderOptions;
  readonly #primary: PrimaryClient;

  /** Creates the forwarder and handles the requests forwarded by peers. */
  constructor(options: CallForwarderOptions) {
    this.#options = options;
    this.#primary = new PrimaryClient(options);
    const { hub, local } = options;
    hub
      .handle("calls.admit", (p) => local.admit(p as CallStart))
      .handle("calls.finish", (p) => {
        const { key, answer } = p as FinishParams;
        return local.finish(key, answer);
      })
      .handle("calls.fail", (p) => {
        const { key, verdict } = p as FailParams;
        return local.fail(key, verdict);
      });
  }

  /**
   * Records the start of a call, or gets the stored response of its first
   * attempt.
   *
   * If the ledger's reply is lost, the start may have been recorded. The call
   * is then refused, and reported to the ledger as not run, with retries in the
   * background.
   * @throws RefusalError if the call may not run.
   */
  async admit(start: CallStart): Promise<CallAdmission> {
    try {
      return await this.#runAtPrimary(
        "calls.admit",
        start,
        (local) => local.admit(start),
      );
    } catch (err) {
      if (!isOutcomeUnknown(err)) throw err;
      this.#retryInBackground(() => this.fail(start.key, Verdict.NotRun));
      throw new RefusalError(RefusalReason.LedgerUnavailable, Verdict.NotRun, {
        message: "The ledger of the data centre did not answer",
        retryAfterMs: RETRY_INTERVAL_MS,
      });
    }
  }

  /**
   * Records the response of a call. On failure, it is retried in the
   * background.
   */
  async finish(key: CallKey, answer: StoredResponse): Promise<void> {
    const params: FinishParams = { key, answer };
    const send = () =>
      this.#runAtPrimary(
        "calls.finish",
        params,
        (local) => local.finish(key, answer),
      );
    await send().catch(() => this.#retryInBackground(send));
  }

  /** Records that a call failed, and whether it may have run. */
  async fail(key: CallKey, verdict: Verdict): Promise<void> {
    const params: FailParams = { key, verdict };
    await this.#runAtPrimary(
      "calls.fail",
      params,
      (local) => local.fail(key, verdict),
    );
  }

  #retryInBackground(send: () => Promise<unknown>): void {
    const attempt = (left: number) => {
      if (left === 0) return;
      send().catch(() =>
        setTimeout(() => attempt(left - 1), RETRY_INTERVAL_MS)
      );
    };
    attempt(MAX_RETRIES);
  }

  #runAtPrimary<T>(
    method: string,
    params: unknown,
    run: (local: CallGuard) => Promise<T>,
  ): Promise<T> {
    return this.#primary.call({
      method,
      params,
      timeoutMs: REQUEST_TIMEOUT_MS,
      run: () => run(this.#options.local),
    });
  }
}

function isOutcomeUnknown(err: unknown): boolean {
  if (!(err instanceof RefusalError)) return true;
  const isUnavailable = err.reason === RefusalReason.LedgerUnavailable ||
    err.reason === RefusalReason.ControlUnavailable;
  return isUnavailable && err.verdict !== Verdict.NotRun;
}
