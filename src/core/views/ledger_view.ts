/** View of a data centre's ledger. */

/** Assignment of the replicas of a data centre's ledger. */
export interface LedgerView {
  readonly dataCentre: string;
  /** Number of the view. A higher number replaces a lower one. */
  readonly number: number;
  /** Process that appends records as primary. */
  readonly primary: string;
  /** Processes that must store each record before it is committed. */
  readonly backups: readonly string[];
  /**
   * Number of times that the ledger state was lost completely and started again
   * empty.
   */
  readonly epoch: number;
}
