/** A leader's view of the replication progress of the other replicas. */
import { allMembers, type Members, quorumValue } from "./members.ts";
import type { ReplicaId } from "./replica_id.ts";
import { SendWindow } from "./send_window.ts";
import type { SnapshotTransfer } from "./snapshot_transfer.ts";

/** Replication progress of one replica. */
export interface ReplicaProgress {
  /** Highest index known to be stored on the replica. */
  match: number;
  /** Next index to send. */
  next: number;
  /** Send time of the latest message that the replica answered. */
  answeredAt: number;
  /** Highest commit index sent to the replica. */
  sentCommit: number;
  /** Unanswered messages with entries, or with a snapshot as a whole. */
  readonly window: SendWindow;
  /**
   * Whether the next index is not yet known to match; then one message at a
   * time is sent.
   */
  isProbing: boolean;
  /** Snapshot that is sent in parts; undefined if none is. */
  transfer: SnapshotTransfer | undefined;
  /** Whether the replica takes a snapshot in parts. */
  takesParts: boolean;
  /** Whether the replica takes references in place of data. */
  takesReferences: boolean;
  /** Whether the replica lacks data, as far as it has answered in this term. */
  isPartial: boolean;
  /** What was sent to the replica in this term. */
  readonly sent: SentAmount;
}

/** What a leader has sent a replica. */
export interface SentAmount {
  /** Size of entries and parts of snapshots, repeated ones included, in bytes. */
  bytes: number;
  /** Number of snapshots that were begun. */
  snapshots: number;
}

/** Options of {@link ReplicationTracker}. */
export interface ReplicationTrackerOptions {
  /** Identity of the leader. */
  readonly self: ReplicaId;
  /** Next index of the log at the start of the term. */
  readonly next: number;
  /** Start time of the term. */
  readonly now: number;
}

/** Tracks the progress of all members, for commits and leases. */
export class ReplicationTracker {
  readonly #self: ReplicaId;
  readonly #initialNext: number;
  readonly #startedAt: number;
  readonly #progress = new Map<ReplicaId, ReplicaProgress>();

  constructor(options: ReplicationTrackerOptions) {
    this.#self = options.self;
    this.#initialNext = options.next;
    this.#startedAt = options.now;
  }

  /**
   * Gets the progress of a replica, created at the end of the log if unknown.
   */
  progressOf(replica: ReplicaId): ReplicaProgress {
    let progress = this.#progress.get(replica);
    if (progress !== undefined) return progress;
    progress = {
      match: 0,
      next: this.#initialNext,
      answeredAt: -Infinity,
      sentCommit: 0,
      window: new SendWindow(),
      isProbing: true,
      transfer: undefined,
      takesParts: false,
      takesReferences: false,
      isPartial: true,
      sent: { bytes: 0, snapshots: 0 },
    };
    this.#progress.set(replica, progress);
    return progress;
  }

  /** Removes replicas that are no longer members. */
  retainMembers(members: Members): this {
    const ids = new Set(allMembers(members));
    for (const id of [...this.#progress.keys()]) {
      if (!ids.has(id)) this.#progress.delete(id);
    }
    return this;
  }

  /**
   * Gets whether a replica is sent references in place of data. All that answer
   * must take them, as each may have to fetch the data from any other.
   */
  mayReference(replica: ReplicaId): boolean {
    return this.progressOf(replica).takesReferences &&
      [...this.#progress.values()].every(({ answeredAt, takesReferences }) =>
        answeredAt === -Infinity || takesReferences
      );
  }

  /** Gets whether a snapshot is being sent in parts to a replica. */
  get isSendingSnapshot(): boolean {
    return [...this.#progress.values()].some(({ transfer }) => transfer);
  }

  /** Updates the last index that the leader itself has stored. */
  onSelfStored(index: number): this {
    const progress = this.progressOf(this.#self);
    progress.match = Math.max(progress.match, index);
    return this;
  }

  /** Gets the highest index that a quorum has stored. */
  storedByQuorum(members: Members): number {
    return quorumValue(members, (id) => this.#progress.get(id)?.match ?? 0);
  }

  /** Gets the latest time at which a quorum was known to follow this leader. */
  quorumContactAt(members: Members, now: number): number {
    const contact = quorumValue(
      members,
      (id) =>
        id === this.#self
          ? now
          : this.#progress.get(id)?.answeredAt ?? -Infinity,
    );
    return Math.max(contact, -Infinity);
  }

  /** Gets the start time of the term, the earliest contact for check-quorum. */
  get startedAt(): number {
    return this.#startedAt;
  }
}
