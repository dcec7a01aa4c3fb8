/** Runs requests at the instance that orders the ledger's records. */
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { PeerHub } from "../peers/mod.ts";
import type { LedgerPort } from "./ledger_port.ts";

/** Options of {@link PrimaryCaller}. */
export interface PrimaryCallerOptions {
  /** Ledger of the data centre. */
  readonly ledger: LedgerPort;
  /** Links. */
  readonly hub: PeerHub;
}

/** A request of the primary. */
export interface PrimaryRequest<T> {
  /** Method by which another instance answers it. */
  readonly method: string;
  /** Parameters of the method. */
  readonly params: unknown;
  /** Time allowed for the answer of another instance, in milliseconds. */
  readonly timeoutMs: number;
  /** Runs it here, where this instance is primary. */
  readonly run: () => Promise<T>;
}

const RETRY_MS = 1_000;

/** Runs a request here where this instance is primary, else at the primary. */
export class PrimaryCaller {
  readonly #options: PrimaryCallerOptions;

  /** Creates the caller. */
  constructor(options: PrimaryCallerOptions) {
    this.#options = options;
  }

  /**
   * Runs a request.
   * @throws RefusalError with verdict notRun where no primary is known.
   */
  async call<T>(req: PrimaryRequest<T>): Promise<T> {
    const { ledger, hub } = this.#options;
    if (ledger.isPrimary) return await req.run();
    const { primaryInstance } = ledger;
    if (primaryInstance === undefined) {
      throw new RefusalError(RefusalReason.LedgerUnavailable, Verdict.NotRun, {
        message: "The data centre has no ledger primary yet",
        retryAfterMs: RETRY_MS,
      });
    }
    const { method, params, timeoutMs } = req;
    return await hub.request(primaryInstance, method, {
      params,
      timeoutMs,
    }) as T;
  }
}
