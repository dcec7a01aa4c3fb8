/** Effects that a replica of the ledger asks its owner to carry out. */
import type { LedgerView } from "../views/mod.ts";
import type { LedgerEntry, LedgerPosition } from "./ledger_log.ts";
import type { LedgerMessage } from "./ledger_message.ts";
import type { LedgerSnapshot } from "./ledger_state.ts";

/**
 * A side effect requested by the replica. Effects must be carried out in order.
 *
 * A `write` must be synced (if there is a disk) before any later effect is
 * carried out; then `onWritten` must be called with the effect's `index`.
 */
export type LedgerEffect =
  | {
    readonly type: "write";
    readonly epoch: number;
    readonly view: number;
    /** State that replaces all stored data. */
    readonly snapshot?: LedgerSnapshot;
    readonly base?: LedgerPosition;
    /**
     * Index after which stored entries are deleted before `entries` are added.
     */
    readonly truncateAfter?: number;
    readonly entries: readonly LedgerEntry[];
    /** Last index in the log after the write. */
    readonly index: number;
  }
  | { readonly type: "send"; readonly message: LedgerMessage }
  | {
    readonly type: "applied";
    readonly entry: LedgerEntry;
    /** Invariant violation for which the record was rejected, if any. */
    readonly error: Error | undefined;
  }
  | { readonly type: "role"; readonly isPrimary: boolean }
  | { readonly type: "proposeView"; readonly view: LedgerView };
