/** Messages between the replicas of a replicated log. */
import type { LogEntry, LogSnapshot, SnapshotHead } from "./log_entry.ts";
import type { ReplicaId } from "./replica_id.ts";

/** Fields common to all messages. */
export interface MessageBase {
  readonly from: ReplicaId;
  /** Recipient. A replica with another disk incarnation drops the message. */
  readonly to: ReplicaId;
  /** Current term of the sender. */
  readonly term: number;
}

/** Asks whether the recipient would grant a vote, without raising its term. */
export interface PreVoteRequest extends MessageBase {
  readonly type: "preVoteRequest";
  /** Index of the last entry in the sender's log. */
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Reply to {@link PreVoteRequest}. */
export interface PreVoteReply extends MessageBase {
  readonly type: "preVoteReply";
  readonly isGranted: boolean;
}

/** Requests a vote. */
export interface VoteRequest extends MessageBase {
  readonly type: "voteRequest";
  /** Index of the last entry in the candidate's log. */
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Whether the leader has released its lease in favour of this candidate. */
  readonly isTransfer: boolean;
}

/** Reply to {@link VoteRequest}. */
export interface VoteReply extends MessageBase {
  readonly type: "voteReply";
  readonly isGranted: boolean;
}

/** Replicates entries; without entries it serves as the leader's heartbeat. */
export interface AppendRequest<C> extends MessageBase {
  readonly type: "appendRequest";
  /** Index of the entry that precedes `entries`. */
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry<C>[];
  /** Commit index of the leader. */
  readonly committed: number;
  /**
   * Time that the recipient adds to its election timeout, in milliseconds, since
   * the leader's process is slow. An earlier build sends none.
   */
  readonly electionDelayMs?: number;
  /** Send time by the leader's clock, in milliseconds. Echoed in the reply. */
  readonly sentAt: number;
}

/** Reply to {@link AppendRequest} and {@link SnapshotRequest}. */
export interface AppendReply extends MessageBase {
  readonly type: "appendReply";
  readonly isAccepted: boolean;
  /**
   * Highest index known to match the leader's log; if rejected, a hint where to
   * retry.
   */
  readonly matchIndex: number;
  /**
   * Whether the sender takes a snapshot in parts. An earlier build sends no such
   * field.
   */
  readonly takesParts?: boolean;
  /**
   * Whether the sender takes references in place of data, in parts of a
   * snapshot. An earlier build sends no such field.
   */
  readonly takesReferences?: boolean;
  /** Whether the sender lacks data that its state refers to; absent if not. */
  readonly isPartial?: boolean;
  /** Send time of the request, by the leader's clock, in milliseconds. */
  readonly sentAt: number;
}

/** Sends the full state to a replica whose next entries have been compacted. */
export interface SnapshotRequest<S> extends MessageBase {
  readonly type: "snapshotRequest";
  readonly snapshot: LogSnapshot<S>;
  /** Send time by the leader's clock, in milliseconds. Echoed in the reply. */
  readonly sentAt: number;
}

/**
 * Sends parts of the state to a replica whose next entries were compacted;
 * without parts it asks which the replica holds.
 */
export interface SnapshotPartRequest extends MessageBase {
  readonly type: "snapshotPartRequest";
  readonly snapshot: SnapshotHead;
  /** Number of parts that precede those of the message. */
  readonly first: number;
  /** Number of parts of the snapshot. */
  readonly total: number;
  readonly parts: readonly unknown[];
  /** Send time by the leader's clock, in milliseconds. Echoed in the reply. */
  readonly sentAt: number;
}

/** Reply to {@link SnapshotPartRequest} before the last part. */
export interface SnapshotPartReply extends MessageBase {
  readonly type: "snapshotPartReply";
  /** Index of the last entry in the snapshot. */
  readonly index: number;
  /**
   * Whether the parts of the request follow those held without a gap. Leaders of
   * earlier builds go by it.
   */
  readonly isAccepted: boolean;
  /** Number of parts held without a gap, from the first on. */
  readonly received: number;
  /** Send time of the request, by the leader's clock, in milliseconds. */
  readonly sentAt: number;
}

/** Asks a voter to start an election at once (leadership transfer). */
export interface TransferRequest extends MessageBase {
  readonly type: "transferRequest";
}

/** A message between the replicas of a replicated log. */
export type ConsensusMessage<C, S> =
  | PreVoteRequest
  | PreVoteReply
  | VoteRequest
  | VoteReply
  | AppendRequest<C>
  | AppendReply
  | SnapshotRequest<S>
  | SnapshotPartRequest
  | SnapshotPartReply
  | TransferRequest;

/**
 * Gets whether a message raises the recipient's term. Pre-vote requests and
 * granted pre-votes carry no new term; a rejected pre-vote reports a higher
 * one.
 *
 * @example
 * ```ts
 * if (message.term > term && raisesTerm(message)) becomeFollower();
 * ```
 */
export function raisesTerm<C, S>(message: ConsensusMessage<C, S>): boolean {
  if (message.type === "preVoteRequest") return false;
  return message.type !== "preVoteReply" || !message.isGranted;
}
