/** Replica of a replicated log: elections, replication, commits and leases. */
import type { ConsensusEffect } from "./consensus_effect.ts";
import { type ConsensusMessage, raisesTerm } from "./consensus_message.ts";
import type { ConsensusNodeOptions, StoredLog } from "./consensus_options.ts";
import { ElectionTimer } from "./election_timer.ts";
import { Elections } from "./elections.ts";
import { LeaderDelay } from "./leader_delay.ts";
import { Leadership } from "./leadership.ts";
import { LogReceiver } from "./log_receiver.ts";
import type { LogSnapshot } from "./log_entry.ts";
import type { Members } from "./members.ts";
import type { ReplicaId } from "./replica_id.ts";
import type { LogPosition } from "./replicated_log.ts";
import { ReplicaState } from "./replica_state.ts";
import type { SentAmount } from "./replication_tracker.ts";
import { Role, RoleEvent } from "./role.ts";
import { getUndivided, type SnapshotDivider } from "./snapshot_parts.ts";

/** Options of {@link ConsensusNode.compact}. */
export interface CompactionOptions {
  /** Current time, in milliseconds of the local clock. */
  readonly now: number;
  /**
   * Size of all entries up to which those that members of a leader still need
   * stay, in bytes.
   */
  readonly maxBytes: number;
}

type Handlers<C, S> = {
  readonly [T in ConsensusMessage<C, S>["type"]]: (
    message: Extract<ConsensusMessage<C, S>, { type: T }>,
    now: number,
  ) => void;
};

/**
 * Implements Raft with pre-vote, check-quorum, leader leases and learners.
 *
 * The node does no I/O. Methods queue effects; the owner fetches them with
 * {@link ConsensusNode.takeEffects} and carries them out in order.
 *
 * @example
 * ```ts
 * node.receive(message, now);
 * for (const effect of node.takeEffects()) await carryOut(effect);
 * ```
 */
export class ConsensusNode<C, S> {
  readonly #options: ConsensusNodeOptions<C, S>;
  readonly #handlers: Handlers<C, S>;
  readonly #state: ReplicaState<C, S>;
  readonly #timer: ElectionTimer;
  readonly #elections: Elections<C, S>;
  readonly #receiver: LogReceiver<C, S>;
  readonly #leaderDelay: LeaderDelay;
  readonly #divider: SnapshotDivider<S>;
  /** Undefined unless this replica leads. */
  #leadership: Leadership<C, S> | undefined;

  /** Creates a follower from its stored state. */
  constructor(options: ConsensusNodeOptions<C, S>) {
    const { times, random, now, references } = options;
    this.#options = options;
    this.#state = new ReplicaState(options);
    this.#timer = new ElectionTimer({ times, random, now });
    this.#leaderDelay = new LeaderDelay({
      startedAt: now,
      maxMs: times.maxElectionDelayMs ?? 0,
    });
    this.#elections = new Elections({
      state: this.#state,
      timer: this.#timer,
      hasLease: (at) => this.hasLease(at),
      onElected: (at) => this.#onElected(at),
    });
    this.#divider = options.divider ?? getUndivided();
    this.#receiver = new LogReceiver({
      state: this.#state,
      divider: this.#divider,
      references,
      timer: this.#timer,
      follow: (leader) => this.#becomeFollower(this.term, leader),
    });
    this.#handlers = this.#createHandlers();
  }

  /** Gets the identity of this replica. */
  get self(): ReplicaId {
    return this.#state.self;
  }

  /** Gets the current term. */
  get term(): number {
    return this.#state.term;
  }

  /** Gets the role. */
  get role(): Role {
    return this.#state.role;
  }

  /** Gets the current leader, or undefined if it is not known. */
  get leader(): ReplicaId | undefined {
    return this.#state.leader;
  }

  /** Gets the members as of the last log entry, committed or not. */
  get members(): Members {
    return this.#state.members;
  }

  /** Gets the members as of the last committed entry. */
  get committedMembers(): Members {
    return this.#state.log.membersAt(this.committed);
  }

  /** Gets the highest committed index. */
  get committed(): number {
    return this.#state.log.committed;
  }

  /** Gets the index and term of the last entry. */
  get last(): LogPosition {
    return this.#state.last;
  }

  /** Gets the complete persistent state, for rewriting the store. */
  get stored(): StoredLog<C, S> {
    return this.#state.stored;
  }

  /** Gets the number of entries held in memory after the snapshot. */
  get logSize(): number {
    return this.#state.log.size;
  }

  /** Gets the size of the entries held in memory, in bytes. */
  get logBytes(): number {
    return this.#state.log.bytes;
  }

  /**
   * Gets the size of the entries that a snapshot replaces and members of this
   * leader still need, in bytes.
   */
  get keptBytes(): number {
    return this.#state.log.keptBytes;
  }

  /** Gets whether this leader is sending a snapshot in parts. */
  get isSendingSnapshot(): boolean {
    return this.#leadership?.isSendingSnapshot ?? false;
  }

  /** Gets whether this leader has committed an entry of its own term. */
  get hasCommittedOwnTerm(): boolean {
    return this.#state.hasCommittedOwnTerm;
  }

  /** Gets whether this replica leads, and an entry is of its own term. */
  isOfOwnTerm(index: number): boolean {
    return this.#state.isOfOwnTerm(index);
  }

  /** Returns the queued effects and clears the queue. */
  takeEffects(): ConsensusEffect<C, S>[] {
    return this.#state.takeEffects();
  }

  /**
   * Gets the end of the leader lease, in milliseconds of the local clock, as
   * {@link Leadership.leaseEnd}.
   *
   * @returns -Infinity if this replica holds no lease.
   */
  leaseEnd(now: number): number {
    return this.#leadership?.leaseEnd(now) ?? -Infinity;
  }

  /**
   * Gets the latest time at which a quorum was known to follow this leader, or
   * -Infinity if it does not lead or is transferring leadership.
   */
  quorumContactAt(now: number): number {
    return this.#leadership?.quorumContactAt(now) ?? -Infinity;
  }

  /** Sends heartbeats at once, to confirm that a quorum follows this leader. */
  probeQuorum(now: number): void {
    this.#leadership?.sendHeartbeats(now);
  }

  /** Gets whether this leader holds its lease. */
  hasLease(now: number): boolean {
    return now < this.leaseEnd(now);
  }

  /**
   * Gets whether a replica holds all committed entries and answered within the
   * election timeout. Always false before the leader has committed an entry of
   * its own term.
   */
  isCaughtUp(replica: ReplicaId, now: number): boolean {
    return this.#leadership?.isCaughtUp(replica, now) ?? false;
  }

  /**
   * Gets whether a replica lacks data that its state refers to, as far as this
   * leader knows.
   */
  isPartial(replica: ReplicaId): boolean {
    return this.#leadership?.isPartial(replica) ?? false;
  }

  /**
   * Gets the highest index that a member is known to hold; 0 if it is not known
   * or this replica does not lead.
   */
  heldBy(replica: ReplicaId): number {
    return this.#leadership?.heldBy(replica) ?? 0;
  }

  /**
   * Gets what this leader has sent a member in its term; undefined if this
   * replica does not lead.
   */
  sentTo(replica: ReplicaId): Readonly<SentAmount> | undefined {
    return this.#leadership?.sentTo(replica);
  }

  /**
   * Appends a command to the log.
   *
   * @returns Position of the entry, or undefined if this replica does not lead
   * or is transferring leadership.
   */
  propose(command: C, now: number): LogPosition | undefined {
    return this.#leadership?.propose({ type: "command", command }, now);
  }

  /**
   * Proposes a membership that adds or removes at most one voter.
   *
   * @returns Position of the entry, or undefined if the change is not allowed:
   * this leader has not yet committed an entry of its own term or is
   * transferring leadership, another change is pending, more than one voter
   * changes, or an added voter is not caught up.
   */
  proposeMembers(members: Members, now: number): LogPosition | undefined {
    return this.#leadership?.proposeMembers(members, now);
  }

  /**
   * Transfers leadership to a voter that holds the complete log.
   *
   * The lease ends at once. If no voter takes over within the election timeout,
   * this replica steps down anyway.
   *
   * @returns Whether a transfer was started.
   */
  transferLeadership(now: number): boolean {
    return this.#leadership?.transfer(now) ?? false;
  }

  /** Handles the completion of a synced write. */
  onWritten(write: { lastIndex: number; term: number }, now: number): void {
    if (write.term !== this.term) return;
    this.#leadership?.onWritten(write.lastIndex, now);
  }

  /** Handles a message from another replica. */
  receive(message: ConsensusMessage<C, S>, now: number): void {
    if (message.to !== this.self) return;
    if (message.term > this.term && raisesTerm(message)) {
      const isLeader = message.type === "appendRequest" ||
        message.type === "snapshotRequest" ||
        message.type === "snapshotPartRequest";
      const isIgnored = message.type === "voteRequest" &&
        this.#elections.ignores(message, now);
      if (isIgnored) return;
      this.#becomeFollower(message.term, isLeader ? message.from : undefined);
    }
    const handler = this.#handlers[message.type] as (
      message: ConsensusMessage<C, S>,
      now: number,
    ) => void;
    handler(message, now);
  }

  /** Sends heartbeats or starts an election if due. */
  tick(now: number): void {
    if (this.#leadership !== undefined) {
      this.#tickLeader(this.#leadership, now);
      return;
    }
    if (now < this.#electionDueAt || !this.#state.isVoter) return;
    this.#elections.startPreVote(now);
  }

  /**
   * Gets the time at which {@link ConsensusNode.tick} is next due; Infinity for
   * never.
   */
  get nextTickAt(): number {
    if (this.#leadership !== undefined) return this.#leadership.heartbeatDueAt;
    return this.#state.isVoter ? this.#electionDueAt : Infinity;
  }

  /**
   * Gets the time at which this replica stands for election. One that lacks data
   * leaves the lead to others, if there are any.
   */
  get #electionDueAt(): number {
    const { references, times } = this.#options;
    const delayMs = references?.isPartial() === true ? times.electionMs : 0;
    return this.#timer.dueAt + delayMs;
  }

  /**
   * Creates a snapshot of the application state after an entry, for
   * {@link ConsensusNode.compact}.
   * @returns Undefined if the entry is not held, or has not been applied.
   */
  createSnapshot(state: S, index: number): LogSnapshot<S> | undefined {
    return this.#state.createSnapshot(state, index);
  }

  /**
   * Replaces the entries of a snapshot of this replica by it.
   * @param options - Which entries stay nevertheless; by default, none.
   * @returns False if a later snapshot is in force.
   */
  compact(snapshot: LogSnapshot<S>, options?: CompactionOptions): boolean {
    const leadership = this.#leadership;
    const kept = options && leadership && {
      after: leadership.getNeededAfter(options.now),
      maxBytes: options.maxBytes,
    };
    return this.#state.compact(snapshot, kept);
  }

  /**
   * Makes a leader send a replica the latest snapshot, as a part of an earlier
   * one can no longer be read.
   */
  abandonTransfer(replica: ReplicaId, index: number): void {
    this.#leadership?.abandonTransfer(replica, index);
  }

  #createHandlers(): Handlers<C, S> {
    const [elections, receiver] = [this.#elections, this.#receiver];
    return {
      preVoteRequest: (m, now) => elections.onPreVoteRequest(m, now),
      preVoteReply: (m, now) => elections.onPreVoteReply(m, now),
      voteRequest: (m, now) => elections.onVoteRequest(m, now),
      voteReply: (m, now) => elections.onVoteReply(m, now),
      appendRequest: (m, now) => receiver.onAppendRequest(m, now),
      appendReply: (m, now) => this.#leadership?.onAppendReply(m, now),
      snapshotRequest: (m, now) => receiver.onSnapshotRequest(m, now),
      snapshotPartRequest: (m, now) => receiver.onSnapshotPartRequest(m, now),
      snapshotPartReply: (m, now) =>
        this.#leadership?.onSnapshotPartReply(m, now),
      transferRequest: (m, now) => elections.onTransferRequest(m, now),
    };
  }

  #becomeFollower(term: number, leader: ReplicaId | undefined): void {
    const wasFollower = this.role === Role.Follower;
    this.#state.raiseTerm(term).setLeader(leader);
    this.#leadership = undefined;
    this.#state.log.keepAfter();
    this.#elections.clearVotes();
    if (wasFollower) return;
    this.#state.transition(RoleEvent.StepDown).announceRole();
  }

  #onElected(now: number): void {
    const { times, references } = this.#options;
    this.#leadership = new Leadership({
      state: this.#state,
      times,
      delay: this.#leaderDelay,
      divider: this.#divider,
      references,
      now,
      stepDown: () => this.#becomeFollower(this.term, undefined),
    });
    this.#state.announceRole();
    this.#leadership.propose({ type: "noop" }, now);
  }

  #tickLeader(leadership: Leadership<C, S>, now: number): void {
    if (leadership.onTick(now).mustStepDown(now)) {
      this.#becomeFollower(this.term, undefined);
      this.#timer.restart(now);
      return;
    }
    if (now >= leadership.heartbeatDueAt) leadership.sendHeartbeats(now);
  }
}
