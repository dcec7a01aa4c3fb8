/** What the other tasks need of the data centre's ledger. */
import type { LedgerRecord, LedgerState } from "../../core/ledger/mod.ts";

/** Hears of each record that has been applied on this instance. */
export type RecordListener = (record: LedgerRecord) => void;

/** Access to the ledger. */
export interface LedgerPort {
  /** State as far as it has been applied on this instance. */
  readonly state: LedgerState;
  /** Whether this instance orders the records. */
  readonly isPrimary: boolean;
  /** Instance that orders the records; undefined where it is not known. */
  readonly primaryInstance: string | undefined;
  /**
   * Appends a record and waits until every member of the view holds it.
   * @throws RefusalError where this instance is not the primary.
   * @throws InvariantError where the record would break a promise.
   */
  append(record: LedgerRecord): Promise<void>;
  /** Adds a listener for applied records. */
  onApplied(listener: RecordListener): void;
  /** Adds a listener for the begin and end of being primary. */
  onPrimary(listener: (isPrimary: boolean) => void): void;
}
