/** Records that any instance appends to the ledger of its data centre. */
import type { LedgerRecord } from "../../core/ledger/mod.ts";
import type { PeerHub } from "../peers/mod.ts";
import type { LedgerPort } from "./ledger_port.ts";
import { PrimaryClient } from "./primary_client.ts";

/** Options of {@link PrimaryLedger}. */
export interface PrimaryLedgerOptions {
  readonly ledger: LedgerPort;
  /** Undefined on an instance without peers. */
  readonly hub: PeerHub | undefined;
}

const REQUEST_TIMEOUT_MS = 2_000;

/**
 * Appends records locally if this instance is primary, or else at the primary.
 */
export class PrimaryLedger {
  readonly #options: PrimaryLedgerOptions;

  constructor(options: PrimaryLedgerOptions) {
    this.#options = options;
  }

  /**
   * Appends a record.
   * @throws RefusalError whose verdict says whether it may have been appended.
   */
  async append(record: LedgerRecord): Promise<void> {
    const { ledger, hub } = this.#options;
    if (hub === undefined) return await ledger.append(record);
    await new PrimaryClient({ ledger, hub }).call({
      method: "ledger.append",
      params: record,
      timeoutMs: REQUEST_TIMEOUT_MS,
      run: () => ledger.append(record),
    });
  }
}
