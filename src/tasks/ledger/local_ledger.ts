/** In-memory ledger of a data centre with a single instance. */
import { type LedgerRecord, LedgerState } from "../../core/ledger/mod.ts";
import type { LedgerPort, RecordListener } from "./ledger_port.ts";

/** Applies records immediately; they are lost on a restart. */
export class LocalLedger implements LedgerPort {
  readonly state = new LedgerState();
  /** Always true: this is the only instance. */
  readonly isPrimary = true;
  /** Always undefined: there is no other instance to forward to. */
  readonly primaryInstance: string | undefined = undefined;
  readonly #listeners: RecordListener[] = [];

  /**
   * Applies a record.
   * @throws InvariantError if the record would violate an invariant.
   */
  append(record: LedgerRecord): Promise<void> {
    const err = this.state.apply(record);
    if (err !== undefined) return Promise.reject(err);
    for (const listener of this.#listeners) listener(record);
    return Promise.resolve();
  }

  onApplied(listener: RecordListener): void {
    this.#listeners.push(listener);
  }

  /** Calls the listener at once, since this instance is always primary. */
  onPrimaryChanged(listener: (isPrimary: boolean) => void): void {
    listener(true);
  }
}
