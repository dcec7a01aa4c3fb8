/** Replica of a replicated log: elections, replication, commits and leases. */
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import type { ConsensusEffect } from "./consensus_effect.ts";
import type {
  AppendReply,
  AppendRequest,
  ConsensusMessage,
  PreVoteReply,
  PreVoteRequest,
  SnapshotRequest,
  TransferRequest,
  VoteReply,
  VoteRequest,
} from "./consensus_message.ts";
import type { EntryContent, LogEntry, LogSnapshot } from "./log_entry.ts";
import {
  allMembers,
  isSingleChange,
  type Members,
  quorumSize,
} from "./members.ts";
import {
  ALL_GUARDS,
  type ConsensusGuards,
  type ConsensusNodeOptions,
  type StoredLog,
} from "./consensus_options.ts";
import { LeaderDelay } from "./leader_delay.ts";
import { LogSender } from "./log_sender.ts";
import type { ReplicaId } from "./replica_id.ts";
import { type LogPosition, ReplicatedLog } from "./replicated_log.ts";
import { ReplicationTracker } from "./replication_tracker.ts";
import { Role, RoleEvent, RoleStateMachine } from "./role.ts";

type Handlers<C, S> = {
  readonly [T in ConsensusMessage<C, S>["type"]]: (
    message: Extract<ConsensusMessage<C, S>, { type: T }>,
    now: number,
  ) => void;
};

/**
 * Maximum jitter of the first election timeout after a start, as a fraction of
 * the minimum timeout.
 *
 * It is smaller than that of later elections, because voters that started at
 * the same time reject vote requests until the minimum timeout has passed.
 */
const FIRST_ELECTION_JITTER = 0.5;
/**
 * Election timeouts without an answer of a quorum after which a leader steps
 * down even if its ticks come late, or one that is always late would stay.
 */
const MAX_SILENCE_FACTOR = 4;

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
  readonly #guards: ConsensusGuards;
  readonly #log: ReplicatedLog<C, S>;
  readonly #lifecycle = new RoleStateMachine();
  readonly #handlers: Handlers<C, S>;
  #term: number;
  #votedFor: ReplicaId | undefined;
  #leader: ReplicaId | undefined;
  #votes = new Set<ReplicaId>();
  #tracker: ReplicationTracker | undefined;
  #sender: LogSender<C, S> | undefined;
  #effects: ConsensusEffect<C, S>[] = [];
  readonly #leaderDelay: LeaderDelay;
  #leaderContactAt: number;
  /** Time that the leader asked to be added to the election timeout. */
  #electionDelayMs = 0;
  #electionDueAt = 0;
  #heartbeatDueAt = 0;
  /** Time of the last tick that came late. */
  #lateTickAt = -Infinity;
  #applied: number;
  #isTransferring = false;
  #transferStartedAt = 0;

  /** Creates a follower from its stored state. */
  constructor(options: ConsensusNodeOptions<C, S>) {
    const { stored } = options;
    this.#options = options;
    this.#guards = options.guards ?? ALL_GUARDS;
    this.#log = new ReplicatedLog(stored.snapshot, stored.entries);
    this.#term = stored.hardState.term;
    this.#votedFor = stored.hardState.votedFor;
    this.#applied = stored.snapshot.index;
    this.#leaderContactAt = options.now;
    const { electionMs } = options.times;
    this.#leaderDelay = new LeaderDelay({
      startedAt: options.now,
      maxMs: options.times.maxElectionDelayMs ?? 0,
    });
    const jitterFactor = 1 + FIRST_ELECTION_JITTER * options.random();
    this.#electionDueAt = options.now + electionMs * jitterFactor;
    this.#handlers = {
      preVoteRequest: (m, now) => this.#onPreVoteRequest(m, now),
      preVoteReply: (m, now) => this.#onPreVoteReply(m, now),
      voteRequest: (m, now) => this.#onVoteRequest(m, now),
      voteReply: (m, now) => this.#onVoteReply(m, now),
      appendRequest: (m, now) => this.#onAppendRequest(m, now),
      appendReply: (m, now) => this.#onAppendReply(m, now),
      snapshotRequest: (m, now) => this.#onSnapshotRequest(m, now),
      transferRequest: (m, now) => this.#onTransferRequest(m, now),
    };
  }

  /** Gets the identity of this replica. */
  get self(): ReplicaId {
    return this.#options.self;
  }

  /** Gets the current term. */
  get term(): number {
    return this.#term;
  }

  /** Gets the role. */
  get role(): Role {
    return this.#lifecycle.role;
  }

  /** Gets the current leader, or undefined if it is not known. */
  get leader(): ReplicaId | undefined {
    return this.role === Role.Leader ? this.self : this.#leader;
  }

  /** Gets the members as of the last log entry, committed or not. */
  get members(): Members {
    return this.#log.members;
  }

  /** Gets the members as of the last committed entry. */
  get committedMembers(): Members {
    return this.#log.membersAt(this.#log.committed);
  }

  /** Gets the highest committed index. */
  get committed(): number {
    return this.#log.committed;
  }

  /** Gets the index and term of the last entry. */
  get last(): LogPosition {
    return this.#log.last;
  }

  /** Gets the complete persistent state, for rewriting the store. */
  get stored(): StoredLog<C, S> {
    return {
      hardState: { term: this.#term, votedFor: this.#votedFor },
      snapshot: this.#log.snapshot,
      entries: this.#log.entriesFrom(this.#log.snapshot.index + 1, Infinity),
    };
  }

  /** Gets the number of entries held in memory after the snapshot. */
  get logSize(): number {
    return this.#log.size;
  }

  /** Gets whether this leader has committed an entry of its own term. */
  get hasCommittedOwnTerm(): boolean {
    return this.isOfOwnTerm(this.committed);
  }

  /** Gets whether this replica leads, and an entry is of its own term. */
  isOfOwnTerm(index: number): boolean {
    return this.role === Role.Leader && this.#log.termAt(index) === this.#term;
  }

  /** Returns the queued effects and clears the queue. */
  takeEffects(): ConsensusEffect<C, S>[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /**
   * Gets the end of the leader lease, in milliseconds of the local clock.
   *
   * After a contact from the leader, voters reject vote requests for
   * `electionMs` of their own clocks. They receive a message after it was sent,
   * so the lease counts from the send time, shortened by the clock rate error.
   *
   * @returns -Infinity if this replica holds no lease.
   */
  leaseEnd(now: number): number {
    if (this.role !== Role.Leader || this.#isTransferring) return -Infinity;
    if (this.#tracker === undefined || !this.hasCommittedOwnTerm) {
      return -Infinity;
    }
    const { electionMs, clockRateError } = this.#options.times;
    const contactAt = this.#tracker.quorumContactAt(this.members, now);
    const leaseMs = electionMs / (1 + clockRateError);
    return contactAt + leaseMs;
  }

  /**
   * Gets the latest time at which a quorum was known to follow this leader, or
   * -Infinity if it does not lead or is transferring leadership.
   */
  quorumContactAt(now: number): number {
    if (this.role !== Role.Leader || this.#isTransferring) return -Infinity;
    return this.#tracker?.quorumContactAt(this.members, now) ?? -Infinity;
  }

  /** Sends heartbeats at once, to confirm that a quorum follows this leader. */
  probeQuorum(now: number): void {
    if (this.role !== Role.Leader) return;
    this.#heartbeatDueAt = now + this.#options.times.heartbeatMs;
    this.#sender?.broadcast(this.members, now, { isHeartbeat: true });
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
    if (this.#tracker === undefined || !this.hasCommittedOwnTerm) return false;
    const progress = this.#tracker.progressOf(replica);
    const { electionMs } = this.#options.times;
    if (!this.#guards.learnerCaughtUp) return progress.answeredAt > -Infinity;
    return progress.match >= this.committed &&
      now - progress.answeredAt < electionMs;
  }

  /**
   * Appends a command to the log.
   *
   * @returns Position of the entry, or undefined if this replica does not lead
   * or is transferring leadership.
   */
  propose(command: C, now: number): LogPosition | undefined {
    if (this.role !== Role.Leader || this.#isTransferring) return undefined;
    return this.#appendEntry({ type: "command", command }, now);
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
    if (!this.hasCommittedOwnTerm || this.#isTransferring) return undefined;
    if (this.#log.hasPendingMembersChange) return undefined;
    if (!isSingleChange(this.members, members)) return undefined;
    const added = members.voters
      .filter((id) => !this.members.voters.includes(id));
    if (!added.every((id) => this.isCaughtUp(id, now))) return undefined;
    return this.#appendEntry({ type: "members", members }, now);
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
    const tracker = this.#tracker;
    if (this.role !== Role.Leader || tracker === undefined) return false;
    const successors = this.members.voters
      .filter((id) => id !== this.self)
      .filter((id) => tracker.progressOf(id).match === this.last.index)
      .sort((a, b) =>
        tracker.progressOf(b).answeredAt - tracker.progressOf(a).answeredAt
      );
    if (successors.length === 0) return false;
    this.#isTransferring = true;
    this.#transferStartedAt = now;
    this.#send({ type: "transferRequest", ...this.#envelope(successors[0]) });
    return true;
  }

  /** Handles the completion of a synced write. */
  onWritten(write: { lastIndex: number; term: number }, now: number): void {
    if (this.role !== Role.Leader || write.term !== this.#term) return;
    this.#tracker?.onSelfStored(write.lastIndex);
    this.#advanceCommit(now);
  }

  /** Handles a message from another replica. */
  receive(message: ConsensusMessage<C, S>, now: number): void {
    if (message.to !== this.self) return;
    if (message.term > this.#term && raisesTerm(message)) {
      const isLeader = message.type === "appendRequest" ||
        message.type === "snapshotRequest";
      if (this.#ignoresVoteRequest(message, now)) return;
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
    if (this.role === Role.Leader) {
      this.#tickLeader(now);
      return;
    }
    if (now < this.#electionDueAt || !this.#isVoter()) return;
    this.#startPreVote(now);
  }

  /**
   * Gets the time at which {@link ConsensusNode.tick} is next due; Infinity for
   * never.
   */
  get nextTickAt(): number {
    if (this.role === Role.Leader) return this.#heartbeatDueAt;
    return this.#isVoter() ? this.#electionDueAt : Infinity;
  }

  /** Replaces applied entries with a snapshot of the application state. */
  compact(state: S, index: number): void {
    const term = this.#log.termAt(index);
    const isApplied = index > this.#log.snapshot.index &&
      index <= this.#applied;
    if (term === undefined || !isApplied) return;
    const members = this.#log.membersAt(index);
    const compacted: LogSnapshot<S> = { index, term, members, state };
    this.#log.compact(compacted);
    this.#effects.push({
      type: "write",
      snapshot: compacted,
      lastIndex: this.last.index,
      term: this.#term,
    });
  }

  #envelope(to: ReplicaId): { from: ReplicaId; to: ReplicaId; term: number } {
    return { from: this.self, to, term: this.#term };
  }

  #send(message: ConsensusMessage<C, S>): void {
    this.#effects.push({ type: "send", message });
  }

  #isVoter(): boolean {
    return this.members.voters.includes(this.self);
  }

  #resetElection(now: number): void {
    const { electionMs } = this.#options.times;
    const jitterFactor = 1 + this.#options.random();
    this.#electionDueAt = now + this.#electionDelayMs +
      electionMs * jitterFactor;
  }

  #hasLeaderContact(now: number): boolean {
    const { electionMs } = this.#options.times;
    return now - this.#leaderContactAt < electionMs + this.#electionDelayMs;
  }

  #ignoresVoteRequest(message: ConsensusMessage<C, S>, now: number): boolean {
    if (message.type !== "voteRequest" || message.isTransfer) return false;
    if (!this.#guards.leaderStickiness) return false;
    return this.role === Role.Leader
      ? this.hasLease(now)
      : this.#hasLeaderContact(now);
  }

  #becomeFollower(term: number, leader: ReplicaId | undefined): void {
    const wasFollower = this.role === Role.Follower;
    if (term > this.#term) {
      this.#term = term;
      this.#votedFor = undefined;
      this.#writeHardState();
    }
    this.#leader = leader;
    this.#tracker = undefined;
    this.#sender = undefined;
    this.#isTransferring = false;
    this.#votes.clear();
    if (wasFollower) return;
    this.#lifecycle.send(RoleEvent.StepDown);
    this.#effects.push({ type: "role", role: this.role, term: this.#term });
  }

  #writeHardState(): void {
    this.#effects.push({
      type: "write",
      hardState: { term: this.#term, votedFor: this.#votedFor },
      lastIndex: this.last.index,
      term: this.#term,
    });
  }

  #startPreVote(now: number): void {
    this.#lifecycle.send(RoleEvent.Timeout);
    this.#leader = undefined;
    this.#electionDelayMs = 0;
    this.#resetElection(now);
    this.#requestVotes((request) => ({ type: "preVoteRequest", ...request }));
    this.#countPreVotes(now);
  }

  /**
   * Sends a request to every other voter, with the last index and term of the
   * local log.
   */
  #requestVotes(
    create: (
      request: Omit<PreVoteRequest, "type">,
    ) => PreVoteRequest | VoteRequest,
  ): void {
    this.#votes = new Set([this.self]);
    const { index: lastIndex, term: lastTerm } = this.last;
    for (const voter of this.members.voters) {
      if (voter === this.self) continue;
      this.#send(create({ ...this.#envelope(voter), lastIndex, lastTerm }));
    }
  }

  #countPreVotes(now: number): void {
    if (!this.#hasQuorumOfVotes()) return;
    this.#lifecycle.send(RoleEvent.PreElected);
    this.#startVote(now, { isTransfer: false });
  }

  #startVote(now: number, options: { isTransfer: boolean }): void {
    this.#term += 1;
    this.#votedFor = this.self;
    this.#writeHardState();
    this.#resetElection(now);
    const { isTransfer } = options;
    this.#requestVotes((request) => ({
      type: "voteRequest",
      ...request,
      isTransfer,
    }));
    this.#countVotes(now);
  }

  #hasQuorumOfVotes(): boolean {
    const { members } = this;
    const grantedBy = members.voters.filter((id) => this.#votes.has(id));
    return grantedBy.length >= quorumSize(members);
  }

  #countVotes(now: number): void {
    if (!this.#hasQuorumOfVotes()) return;
    this.#lifecycle.send(RoleEvent.Elected);
    this.#leader = this.self;
    this.#isTransferring = false;
    this.#tracker = new ReplicationTracker({
      self: this.self,
      next: this.last.index + 1,
      now,
    });
    this.#sender = new LogSender({
      self: this.self,
      term: this.#term,
      log: this.#log,
      tracker: this.#tracker,
      heartbeatMs: this.#options.times.heartbeatMs,
      sizeOf: this.#options.sizeOf,
      electionDelayMs: (at) => this.#leaderDelay.get(at),
      send: (message) => this.#send(message),
    });
    this.#heartbeatDueAt = now;
    this.#effects.push({ type: "role", role: this.role, term: this.#term });
    this.#appendEntry({ type: "noop" }, now);
  }

  #appendEntry(content: EntryContent<C>, now: number): LogPosition {
    const entry: LogEntry<C> = {
      index: this.last.index + 1,
      term: this.#term,
      content,
    };
    this.#log.append([entry]);
    this.#effects.push({
      type: "write",
      entries: [entry],
      lastIndex: entry.index,
      term: this.#term,
    });
    if (content.type === "members") {
      this.#tracker?.retainMembers(content.members);
    }
    this.#sender?.broadcast(this.members, now, { isHeartbeat: false });
    return { index: entry.index, term: entry.term };
  }

  #tickLeader(now: number): void {
    const { electionMs, heartbeatMs } = this.#options.times;
    const tracker = this.#tracker;
    if (tracker === undefined) return;
    const lagMs = now - this.#heartbeatDueAt;
    this.#leaderDelay.onTick(now, lagMs);
    if (lagMs > heartbeatMs) this.#lateTickAt = now;
    const isTransferOverdue = this.#isTransferring &&
      now - this.#transferStartedAt > electionMs;
    if (this.#hasLostQuorum(tracker, now) || isTransferOverdue) {
      this.#becomeFollower(this.#term, undefined);
      this.#resetElection(now);
      return;
    }
    if (now < this.#heartbeatDueAt) return;
    this.#heartbeatDueAt = now + heartbeatMs;
    this.#sender?.broadcast(this.members, now, { isHeartbeat: true });
  }

  /**
   * Gets whether no quorum has answered for too long. After a late tick, replies
   * may wait to be read, so the time counts from that tick.
   */
  #hasLostQuorum(tracker: ReplicationTracker, now: number): boolean {
    const { electionMs } = this.#options.times;
    const contactAt = Math.max(
      tracker.quorumContactAt(this.members, now),
      tracker.startedAt,
    );
    const silentMs = now - Math.max(contactAt, this.#lateTickAt);
    return silentMs > electionMs ||
      now - contactAt > MAX_SILENCE_FACTOR * electionMs;
  }

  #advanceCommit(now: number): void {
    const tracker = this.#tracker;
    if (tracker === undefined) return;
    const index = tracker.storedByQuorum(this.members);
    if (index <= this.committed) return;
    const isOwnTerm = this.#log.termAt(index) === this.#term;
    if (!isOwnTerm && this.#guards.commitOwnTermOnly) return;
    this.#commitTo(index);
    this.#sender?.sendCommitIndex(this.members, now);
    if (!this.#isVoter()) this.#becomeFollower(this.#term, undefined);
  }

  #commitTo(index: number): void {
    this.#log.commit(Math.min(index, this.last.index));
    const entries: LogEntry<C>[] = [];
    for (let i = this.#applied + 1; i <= this.committed; i += 1) {
      const entry = this.#log.entryAt(i);
      if (entry !== undefined) entries.push(entry);
    }
    if (entries.length === 0) return;
    this.#applied = this.committed;
    this.#effects.push({ type: "apply", entries });
  }

  /**
   * Grants a pre-vote even if the local log does not show this replica as a
   * voter: its promotion may be committed without it having received the entry.
   */
  #onPreVoteRequest(message: PreVoteRequest, now: number): void {
    const hasLeader = this.role === Role.Leader || this.#hasLeaderContact(now);
    const isRefused = hasLeader && this.#guards.leaderStickiness;
    const isGranted = !isRefused && message.term >= this.#term &&
      this.#log.isUpToDate({
        index: message.lastIndex,
        term: message.lastTerm,
      });
    this.#send({
      type: "preVoteReply",
      ...this.#envelope(message.from),
      isGranted,
    });
  }

  #onPreVoteReply(message: PreVoteReply, now: number): void {
    if (this.role !== Role.PreCandidate || !message.isGranted) return;
    this.#votes.add(message.from);
    this.#countPreVotes(now);
  }

  #onVoteRequest(message: VoteRequest, now: number): void {
    if (this.#ignoresVoteRequest(message, now)) return;
    const canVote = this.#votedFor === undefined ||
      this.#votedFor === message.from;
    const isGranted = message.term === this.#term && canVote &&
      this.role === Role.Follower &&
      this.#log.isUpToDate({
        index: message.lastIndex,
        term: message.lastTerm,
      });
    if (isGranted) {
      this.#votedFor = message.from;
      if (this.#guards.voteStored) this.#writeHardState();
      this.#resetElection(now);
    }
    this.#send({
      type: "voteReply",
      ...this.#envelope(message.from),
      isGranted,
    });
  }

  #onVoteReply(message: VoteReply, now: number): void {
    if (this.role !== Role.Candidate || !message.isGranted) return;
    if (message.term !== this.#term) return;
    this.#votes.add(message.from);
    this.#countVotes(now);
  }

  #onLeaderContact(
    { from, electionDelayMs = 0 }: {
      readonly from: ReplicaId;
      readonly electionDelayMs?: number;
    },
    now: number,
  ): void {
    assertInvariant(
      this.role !== Role.Leader,
      Invariant.OneLeaderPerTerm,
      `${from} and ${this.self} both lead term ${this.#term}`,
    );
    if (this.role !== Role.Follower) this.#becomeFollower(this.#term, from);
    assertInvariant(
      this.#leader === undefined || this.#leader === from,
      Invariant.OneLeaderPerTerm,
      `${from} and ${this.#leader} both lead term ${this.#term}`,
    );
    this.#leader = from;
    this.#leaderContactAt = now;
    this.#electionDelayMs = Math.min(
      electionDelayMs,
      this.#options.times.maxElectionDelayMs ?? 0,
    );
    this.#resetElection(now);
  }

  #onAppendRequest(message: AppendRequest<C>, now: number): void {
    if (message.term < this.#term) {
      this.#replyAppend(message, { isAccepted: false, matchIndex: 0 });
      return;
    }
    this.#onLeaderContact(message, now);
    const { prevIndex, prevTerm } = message;
    const isBeforeSnapshot = prevIndex < this.#log.snapshot.index;
    if (!isBeforeSnapshot && this.#log.termAt(prevIndex) !== prevTerm) {
      const matchIndex = this.#log.lastBeforeTermOf(prevIndex);
      this.#replyAppend(message, { isAccepted: false, matchIndex });
      return;
    }
    this.#storeEntries(message.entries);
    const matchIndex = prevIndex + message.entries.length;
    this.#commitTo(Math.min(message.committed, matchIndex));
    this.#replyAppend(message, { isAccepted: true, matchIndex });
  }

  #storeEntries(entries: readonly LogEntry<C>[]): void {
    const isNew = (entry: LogEntry<C>) =>
      entry.index > this.#log.snapshot.index &&
      this.#log.termAt(entry.index) !== entry.term;
    const start = entries.findIndex(isNew);
    if (start < 0) return;
    const added = entries.slice(start);
    const truncateFrom = added[0].index;
    if (truncateFrom <= this.last.index) this.#log.truncateFrom(truncateFrom);
    this.#log.append(added);
    this.#effects.push({
      type: "write",
      truncateFrom,
      entries: added,
      lastIndex: this.last.index,
      term: this.#term,
    });
  }

  #replyAppend(
    message: { from: ReplicaId; sentAt: number },
    reply: { isAccepted: boolean; matchIndex: number },
  ): void {
    this.#send({
      type: "appendReply",
      ...this.#envelope(message.from),
      ...reply,
      sentAt: message.sentAt,
    });
  }

  #onAppendReply(message: AppendReply, now: number): void {
    const tracker = this.#tracker;
    if (this.role !== Role.Leader || tracker === undefined) return;
    if (message.term !== this.#term) return;
    if (!allMembers(this.members).includes(message.from)) return;
    const progress = tracker.progressOf(message.from);
    progress.answeredAt = Math.max(progress.answeredAt, message.sentAt);
    if (!message.isAccepted) {
      progress.next = Math.max(
        1,
        Math.min(progress.next, message.matchIndex + 1),
      );
      progress.next = Math.max(progress.next, progress.match + 1);
      progress.pendingSince = undefined;
      this.#sender?.replicate(message.from, now, { isHeartbeat: true });
      return;
    }
    const isPendingAnswered = progress.pendingSince !== undefined &&
      message.sentAt >= progress.pendingSince;
    if (isPendingAnswered) progress.pendingSince = undefined;
    progress.match = Math.max(progress.match, message.matchIndex);
    progress.next = Math.max(progress.next, progress.match + 1);
    this.#advanceCommit(now);
    const knownCommit = Math.min(this.committed, progress.match);
    const isHeartbeat = progress.sentCommit < knownCommit;
    this.#sender?.replicate(message.from, now, { isHeartbeat });
  }

  #onSnapshotRequest(message: SnapshotRequest<S>, now: number): void {
    if (message.term < this.#term) {
      this.#replyAppend(message, { isAccepted: false, matchIndex: 0 });
      return;
    }
    this.#onLeaderContact(message, now);
    const { snapshot } = message;
    if (snapshot.index > this.committed) {
      this.#log.restore(snapshot);
      this.#applied = snapshot.index;
      this.#effects.push({
        type: "write",
        snapshot,
        truncateFrom: this.last.index + 1,
        lastIndex: this.last.index,
        term: this.#term,
      });
      this.#effects.push({ type: "restore", snapshot });
    }
    this.#replyAppend(message, {
      isAccepted: true,
      matchIndex: snapshot.index,
    });
  }

  #onTransferRequest(message: TransferRequest, now: number): void {
    if (message.term !== this.#term || !this.#isVoter()) return;
    if (this.role !== Role.Follower || this.#leader !== message.from) return;
    this.#lifecycle.send(RoleEvent.Transfer);
    this.#startVote(now, { isTransfer: true });
  }
}

/**
 * Gets whether a message raises the recipient's term. Pre-vote requests and
 * granted pre-votes carry no new term; a rejected pre-vote reports a higher
 * one.
 */
function raisesTerm<C, S>(message: ConsensusMessage<C, S>): boolean {
  if (message.type === "preVoteRequest") return false;
  return message.type !== "preVoteReply" || !message.isGranted;
}
