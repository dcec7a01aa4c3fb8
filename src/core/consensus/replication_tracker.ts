/** What a leader knows of the other replicas. */
import { allMembers, type Members, quorumValue } from "./members.ts";
import type { ReplicaId } from "./replica_id.ts";

/** How far a replica has come. */
export interface ReplicaProgress {
  /** Greatest position known to be stored there. */
  match: number;
  /** Next position to send. */
  next: number;
  /** Sending time of the latest message that it has answered. */
  answeredAt: number;
  /** Greatest committed position that it has been told. */
  told: number;
  /** Sending time of an unanswered message with entries or a snapshot. */
  pendingSince: number | undefined;
}

/** Options of {@link ReplicationTracker}. */
export interface ReplicationTrackerOptions {
  /** The leader itself. */
  readonly self: ReplicaId;
  /** Next position of the log at the start of the term. */
  readonly next: number;
  /** Time of the start of the term. */
  readonly now: number;
}

/** Keeps the progress of every member, for commits and leases. */
export class ReplicationTracker {
  readonly #self: ReplicaId;
  readonly #initialNext: number;
  readonly #startedAt: number;
  readonly #progress = new Map<ReplicaId, ReplicaProgress>();

  /** Creates a tracker at the start of a term. */
  constructor(options: ReplicationTrackerOptions) {
    this.#self = options.self;
    this.#initialNext = options.next;
    this.#startedAt = options.now;
  }

  /** Gets the progress of a replica; a new one starts at the log's end. */
  of(replica: ReplicaId): ReplicaProgress {
    let progress = this.#progress.get(replica);
    if (progress !== undefined) return progress;
    progress = {
      match: 0,
      next: this.#initialNext,
      answeredAt: -Infinity,
      told: 0,
      pendingSince: undefined,
    };
    this.#progress.set(replica, progress);
    return progress;
  }

  /** Forgets replicas that are no longer members. */
  keepOnly(members: Members): this {
    const ids = new Set(allMembers(members));
    for (const id of [...this.#progress.keys()]) {
      if (!ids.has(id)) this.#progress.delete(id);
    }
    return this;
  }

  /** Records what the leader itself has stored. */
  onSelfStored(index: number): this {
    const progress = this.of(this.#self);
    progress.match = Math.max(progress.match, index);
    return this;
  }

  /** Gets the greatest position that a quorum has stored. */
  storedByQuorum(members: Members): number {
    return quorumValue(members, (id) => this.#progress.get(id)?.match ?? 0);
  }

  /** Gets the latest time at which a quorum was known to follow. */
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

  /** Gets the time from which check-quorum counts. */
  get startedAt(): number {
    return this.#startedAt;
  }
}
