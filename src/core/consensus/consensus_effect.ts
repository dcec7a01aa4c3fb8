/** Effects that a consensus node asks its owner to carry out. */
import type { ConsensusMessage } from "./consensus_message.ts";
import type { HardState, LogEntry, LogSnapshot } from "./log_entry.ts";
import type { Role } from "./role.ts";

/**
 * A side effect requested by the node. Effects must be carried out in order.
 *
 * A `write` must be synced to disk before any later effect is carried out; then
 * `onWritten` must be called with the effect's `lastIndex` and `term`.
 */
export type ConsensusEffect<C, S> =
  | {
    readonly type: "write";
    readonly hardState?: HardState;
    /**
     * Index from which stored entries are deleted before `entries` are added.
     */
    readonly truncateFrom?: number;
    readonly entries?: readonly LogEntry<C>[];
    readonly snapshot?: LogSnapshot<S>;
    /** Last index in the log after the write. */
    readonly lastIndex: number;
    /** Term of the node when it requested the write. */
    readonly term: number;
  }
  | { readonly type: "send"; readonly message: ConsensusMessage<C, S> }
  | { readonly type: "apply"; readonly entries: readonly LogEntry<C>[] }
  | { readonly type: "restore"; readonly snapshot: LogSnapshot<S> }
  | { readonly type: "role"; readonly role: Role; readonly term: number };
