/** Messages between the replicas of a data centre's ledger. */
import type { LedgerEntry } from "./ledger_log.ts";
import type { LedgerSnapshot } from "./ledger_state.ts";

/** Fields common to all messages. */
export interface LedgerMessageBase {
  /** Sender: process and incarnation. */
  readonly from: string;
  /** Recipient: process and incarnation. */
  readonly to: string;
  /** Number of the sender's current view. */
  readonly view: number;
}

/**
 * Reports a replica's last position to the primary, to request missing entries.
 */
export interface LedgerHello extends LedgerMessageBase {
  readonly type: "hello";
  readonly epoch: number;
  readonly lastIndex: number;
  /** View of the last entry. */
  readonly lastView: number;
}

/** Replicates entries from the primary. */
export interface LedgerAppend extends LedgerMessageBase {
  readonly type: "append";
  readonly entries: readonly LedgerEntry[];
  /** Index and view of the entry that precedes `entries`. */
  readonly prevIndex: number;
  readonly prevView: number;
  /** Commit index of the primary. */
  readonly committed: number;
}

/** Sends the primary's full state. */
export interface LedgerTransfer extends LedgerMessageBase {
  readonly type: "transfer";
  readonly epoch: number;
  readonly snapshot: LedgerSnapshot;
  /** Index of the last entry included in the state. */
  readonly index: number;
  /** View of the last entry included in the state. */
  readonly lastView: number;
}

/** Acknowledges that a replica has stored all records up to an index. */
export interface LedgerAck extends LedgerMessageBase {
  readonly type: "ack";
  readonly index: number;
}

/** Rejects a message from the primary of an older view. */
export interface LedgerRefusal extends LedgerMessageBase {
  readonly type: "refusal";
}

/** A message between replicas of the ledger. */
export type LedgerMessage =
  | LedgerHello
  | LedgerAppend
  | LedgerTransfer
  | LedgerAck
  | LedgerRefusal;
