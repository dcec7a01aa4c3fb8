/** Messages between the replicas of a data centre's ledger. */
import type { LedgerEntry } from "./ledger_log.ts";
import type { LedgerSnapshot } from "./ledger_state.ts";

/** Fields of every message. */
export interface LedgerMessageBase {
  /** Sender, with its incarnation. */
  readonly from: string;
  /** Receiver, with its incarnation. */
  readonly to: string;
  /** Number of the sender's view. */
  readonly view: number;
}

/** A replica tells the primary how far it has come. */
export interface LedgerHello extends LedgerMessageBase {
  readonly type: "hello";
  readonly epoch: number;
  readonly lastIndex: number;
  /** View in which the last entry was ordered. */
  readonly lastView: number;
}

/** The primary brings records. */
export interface LedgerAppend extends LedgerMessageBase {
  readonly type: "append";
  readonly entries: readonly LedgerEntry[];
  /** Position and view of the entry before them. */
  readonly prevIndex: number;
  readonly prevView: number;
  readonly committed: number;
}

/** The primary brings its whole state. */
export interface LedgerTransfer extends LedgerMessageBase {
  readonly type: "transfer";
  readonly epoch: number;
  readonly snapshot: LedgerSnapshot;
  readonly index: number;
  /** View of the last entry that the state includes. */
  readonly lastView: number;
}

/** A replica has stored all records up to a position. */
export interface LedgerAck extends LedgerMessageBase {
  readonly type: "ack";
  readonly index: number;
}

/** A replica of a newer view refuses a primary of an older one. */
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
