/** Routing of requests to the ledger's primary. */
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import type { PeerHub } from "../peers/mod.ts";
import type { LedgerPort } from "./ledger_port.ts";

/** Options of {@link PrimaryClient}. */
export interface PrimaryClientOptions {
  readonly ledger: LedgerPort;
  readonly hub: PeerHub;
}

/** A request to be run by the primary. */
export interface PrimaryRequest<T> {
  /** Method that the primary serves it under. */
  readonly method: string;
  readonly params: unknown;
  /** Time allowed for the primary's reply, in milliseconds. */
  readonly timeoutMs: number;
  /** Runs the request locally; called if this instance is the primary. */
  readonly run: () => Promise<T>;
}

const RETRY_AFTER_MS = 1_000;

/** Runs a request locally on the primary, or else forwards it there. */
export class PrimaryClient {
  readonly #options: PrimaryClientOptions;

  constructor(options: PrimaryClientOptions) {
    this.#options = options;
  }

  /**
   * Runs a request on the primary.
   * @throws RefusalError with verdict `notRun` if no primary is known, or as
   *     the primary or its link reports it.
   */
  async call<T>(req: PrimaryRequest<T>): Promise<T> {
    const { ledger, hub } = this.#options;
    if (ledger.isPrimary) return await req.run();
    const { primaryInstance } = ledger;
    if (primaryInstance === undefined) {
      throw new RefusalError(RefusalReason.LedgerUnavailable, Verdict.NotRun, {
        message: "The data centre has no ledger primary yet",
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    const { method, params, timeoutMs } = req;
    return await hub.request(primaryInstance, method, {
      params,
      timeoutMs,
    }) as T;
  }
}
