/** Messages between the replicas of the log. */
import type { LogEntry, LogSnapshot } from "./log_entry.ts";
import type { ReplicaId } from "./replica_id.ts";

/** Fields of every message. */
export interface MessageBase {
  /** Sender. */
  readonly from: ReplicaId;
  /** Receiver; a replica of another disk incarnation drops the message. */
  readonly to: ReplicaId;
  /** Term of the sender. */
  readonly term: number;
}

/** Asks whether a vote would be given, without raising any term. */
export interface PreVoteRequest extends MessageBase {
  readonly type: "preVoteRequest";
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Answers {@link PreVoteRequest}. */
export interface PreVoteReply extends MessageBase {
  readonly type: "preVoteReply";
  readonly isGranted: boolean;
}

/** Asks for a vote. */
export interface VoteRequest extends MessageBase {
  readonly type: "voteRequest";
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Whether the leader has given up its lease for this candidate. */
  readonly isTransfer: boolean;
}

/** Answers {@link VoteRequest}. */
export interface VoteReply extends MessageBase {
  readonly type: "voteReply";
  readonly isGranted: boolean;
}

/** Brings entries, or only the sign of life of the leader. */
export interface AppendRequest<C> extends MessageBase {
  readonly type: "appendRequest";
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry<C>[];
  readonly committed: number;
  /** Time of sending, by the leader's clock; echoed. */
  readonly sentAt: number;
}

/** Answers {@link AppendRequest} and {@link SnapshotRequest}. */
export interface AppendReply extends MessageBase {
  readonly type: "appendReply";
  readonly isAccepted: boolean;
  /** Greatest position known to match; a hint where not accepted. */
  readonly matchIndex: number;
  /** Time of sending of the request. */
  readonly sentAt: number;
}

/** Brings a whole state where entries are no longer held. */
export interface SnapshotRequest<S> extends MessageBase {
  readonly type: "snapshotRequest";
  readonly snapshot: LogSnapshot<S>;
  readonly sentAt: number;
}

/** Tells a voter to become leader at once. */
export interface TransferRequest extends MessageBase {
  readonly type: "transferRequest";
}

/** A message between replicas. */
export type ConsensusMessage<C, S> =
  | PreVoteRequest
  | PreVoteReply
  | VoteRequest
  | VoteReply
  | AppendRequest<C>
  | AppendReply
  | SnapshotRequest<S>
  | TransferRequest;
