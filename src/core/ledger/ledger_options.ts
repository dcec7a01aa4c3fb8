/** Options of a replica of the ledger. */
import type { LedgerEntry, LedgerPosition } from "./ledger_log.ts";
import type { LedgerSnapshot } from "./ledger_state.ts";

/** Persistent state of a ledger replica. */
export interface StoredLedger {
  /** Epoch of the ledger state; see {@link LedgerView}. */
  readonly epoch: number;
  /** Highest view number seen. */
  readonly view: number;
  /** State up to and including `base`. */
  readonly snapshot?: LedgerSnapshot;
  /** Last position included in the snapshot. */
  readonly base: LedgerPosition;
  /** Entries after `base`. */
  readonly entries: readonly LedgerEntry[];
}

/**
 * Safety checks. A test may disable one to show that the soak test detects its
 * absence.
 */
export interface LedgerGuards {
  /** The primary commits a record only after all backups have stored it. */
  readonly waitsForBackups: boolean;
  /** A member of a newer view refuses the primary of an older view. */
  readonly refusesOldView: boolean;
  /** A joining replica becomes a backup only once it holds all records. */
  readonly joinerCaughtUp: boolean;
}

/** Enables all safety checks. */
export const ALL_LEDGER_GUARDS: LedgerGuards = {
  waitsForBackups: true,
  refusesOldView: true,
  joinerCaughtUp: true,
};

/** Options of `LedgerReplica`. */
export interface LedgerReplicaOptions {
  /**
   * This process, with the incarnation of its disk or, without one, of its
   * start.
   */
  readonly self: string;
  /** State loaded from disk, if any. */
  readonly stored?: StoredLedger;
  /** Wanted number of backups besides the primary. */
  readonly wantedBackups: number;
  /** Enabled safety checks. Defaults to all. */
  readonly guards?: LedgerGuards;
}
