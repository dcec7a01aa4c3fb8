/** The ledger of a data centre of one instance, kept in memory. */
import { type LedgerRecord, LedgerState } from "../../core/ledger/mod.ts";
import type { LedgerPort, RecordListener } from "./ledger_port.ts";

/** Applies records at once; nothing survives a restart. */
export class LocalLedger implements LedgerPort {
  /** State of the ledger. */
  readonly state = new LedgerState();
  /** Always true: there is no other member. */
  readonly isPrimary = true;
  /** Undefined: there is no other member to ask. */
  readonly primaryInstance: string | undefined = undefined;
  readonly #listeners: RecordListener[] = [];

  /** Applies a record. */
  append(record: LedgerRecord): Promise<void> {
    const err = this.state.apply(record);
    if (err !== undefined) return Promise.reject(err);
    for (const listener of this.#listeners) listener(record);
    return Promise.resolve();
  }

  /** Adds a listener for applied records. */
  onApplied(listener: RecordListener): void {
    this.#listeners.push(listener);
  }

  /** Calls the listener at once. */
  onPrimary(listener: (isPrimary: boolean) => void): void {
    listener(true);
  }
}
