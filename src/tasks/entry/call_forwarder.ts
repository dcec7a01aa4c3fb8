/** Asks the guard of calls at the ledger's primary. */
import type { CallKey, StoredAnswer } from "../../core/ledger/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { LedgerPort } from "../ledger/ledger_port.ts";
import { PrimaryCaller } from "../ledger/primary_caller.ts";
import type { PeerHub } from "../peers/mod.ts";
import type { CallAdmission, CallGuard, CallStart } from "./call_guard.ts";

/** Options of {@link CallForwarder}. */
export interface CallForwarderOptions {
  /** Ledger of the data centre. */
  readonly ledger: LedgerPort;
  /** Guard of this instance, used while it is primary. */
  readonly local: CallGuard;
  /** Links. */
  readonly hub: PeerHub;
}

interface FinishParams {
  readonly key: CallKey;
  readonly answer: StoredAnswer;
}

interface FailParams {
  readonly key: CallKey;
  readonly verdict: Verdict;
}

const REQUEST_TIMEOUT_MS = 5_000;
const RETRY_MS = 1_000;
/** Tries to tell the ledger how a call ended. */
const MAX_END_TRIES = 30;

/** Uses the guard here where this instance is primary, else the primary's. */
export class CallForwarder implements CallGuard {
  readonly #options: CallForwarderOptions;
  readonly #primary: PrimaryCaller;

  /** Creates the forwarder and answers the other instances' requests. */
  constructor(options: CallForwarderOptions) {
    this.#options = options;
    this.#primary = new PrimaryCaller(options);
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
   * Records the start of a call, or gets its first answer.
   *
   * Where the answer of the ledger is lost, the call does not run, and the
   * ledger is told so until it hears it.
   */
  async admit(start: CallStart): Promise<CallAdmission> {
    try {
      return await this.#run(
        "calls.admit",
        start,
        (local) => local.admit(start),
      );
    } catch (err) {
      if (!isLost(err)) throw err;
      this.#tell(() => this.fail(start.key, Verdict.NotRun));
      throw new RefusalError(RefusalReason.LedgerUnavailable, Verdict.NotRun, {
        message: "The ledger of the data centre did not answer",
        retryAfterMs: RETRY_MS,
      });
    }
  }

  /** Records the answer of a call; repeated until the ledger hears it. */
  async finish(key: CallKey, answer: StoredAnswer): Promise<void> {
    const params: FinishParams = { key, answer };
    const send = () =>
      this.#run("calls.finish", params, (local) => local.finish(key, answer));
    await send().catch(() => this.#tell(send));
  }

  /** Records how a call failed. */
  async fail(key: CallKey, verdict: Verdict): Promise<void> {
    const params: FailParams = { key, verdict };
    await this.#run("calls.fail", params, (local) => local.fail(key, verdict));
  }

  #tell(send: () => Promise<unknown>): void {
    const attempt = (left: number) => {
      if (left === 0) return;
      send().catch(() => setTimeout(() => attempt(left - 1), RETRY_MS));
    };
    attempt(MAX_END_TRIES);
  }

  #run<T>(
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

function isLost(err: unknown): boolean {
  if (!(err instanceof RefusalError)) return true;
  const isUnavailable = err.reason === RefusalReason.LedgerUnavailable ||
    err.reason === RefusalReason.ControlUnavailable;
  return isUnavailable && err.verdict !== Verdict.NotRun;
}
