/** The view of a data centre's ledger. */

/** Who keeps the ledger of a data centre. */
export interface LedgerView {
  /** Data centre. */
  readonly dataCentre: string;
  /** Number of the view; a greater one replaces a smaller one. */
  readonly number: number;
  /** Process that orders the records. */
  readonly primary: string;
  /** Processes that hold every record before it counts. */
  readonly backups: readonly string[];
  /** Counts how often the state was lost whole and begun anew. */
  readonly epoch: number;
}
