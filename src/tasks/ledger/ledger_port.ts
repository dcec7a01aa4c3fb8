/** Interface to the ledger of the data centre. */
import type { LedgerRecord, LedgerState } from "../../core/ledger/mod.ts";

/** Called for each record that this instance has applied. */
export type RecordListener = (record: LedgerRecord) => void;

/** Access to the ledger. */
export interface LedgerPort {
  /** State after the last record applied by this instance. */
  readonly state: LedgerState;
  /** Whether this instance is the primary, which orders the records. */
  readonly isPrimary: boolean;
  /** Instance of the primary; undefined if it is not known. */
  readonly primaryInstance: string | undefined;
  /**
   * Appends a record and waits until every member of the view has stored it.
   * @throws RefusalError if this instance is not the primary, or ceases to be.
   * @throws InvariantError if the record would violate an invariant.
   */
  append(record: LedgerRecord): Promise<void>;
  onApplied(listener: RecordListener): void;
  /** Adds a listener for gaining and losing the role of primary. */
  onPrimaryChanged(listener: (isPrimary: boolean) => void): void;
}
