/** What the owner of a replica is to do. */
import type { ConsensusMessage } from "./consensus_message.ts";
import type { HardState, LogEntry, LogSnapshot } from "./log_entry.ts";
import type { Role } from "./role.ts";

/**
 * An effect; effects are carried out strictly in order.
 *
 * A `write` must be synced before any later effect is carried out, and
 * `onWritten` is then called with its `lastIndex`.
 */
export type ConsensusEffect<C, S> =
  | {
    readonly type: "write";
    readonly hardState?: HardState;
    /** Position from which stored entries are replaced. */
    readonly truncateFrom?: number;
    readonly entries?: readonly LogEntry<C>[];
    readonly snapshot?: LogSnapshot<S>;
    /** Last position that is stored after the write. */
    readonly lastIndex: number;
    /** Term in which the write was ordered. */
    readonly term: number;
  }
  | { readonly type: "send"; readonly message: ConsensusMessage<C, S> }
  | { readonly type: "apply"; readonly entries: readonly LogEntry<C>[] }
  | { readonly type: "restore"; readonly snapshot: LogSnapshot<S> }
  | { readonly type: "role"; readonly role: Role; readonly term: number };
