/** A replica of the log: elections, replication, commits and leases. */
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
import { LogSender } from "./log_sender.ts";
import type { ReplicaId } from "./replica_id.ts";
import { type LogPosition, ReplicatedLog } from "./replicated_log.ts";
import { ReplicationTracker } from "./replication_tracker.ts";
import { Role, RoleEvent, RoleLifecycle } from "./role.ts";

type Handlers<C, S> = {
  readonly [T in ConsensusMessage<C, S>["type"]]: (
    message: Extract<ConsensusMessage<C, S>, { type: T }>,
    now: number,
  ) => void;
};

/**
 * Spread of the first election after a start, as a share of its time.
 *
 * Voters that started together refuse until that time, so it is short.
 */
const FIRST_SPREAD = 0.5;
/**
 * Keeps one replica of the log.
 *
 * Every call returns nothing; effects collect and are fetched with
 * {@link ConsensusNode.takeEffects}, to be carried out in order.
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
  readonly #lifecycle = new RoleLifecycle();
  readonly #handlers: Handlers<C, S>;
  #term: number;
  #votedFor: ReplicaId | undefined;
  #leader: ReplicaId | undefined;
  #votes = new Set<ReplicaId>();
  #tracker: ReplicationTracker | undefined;
  #sender: LogSender<C, S> | undefined;
  #effects: ConsensusEffect<C, S>[] = [];
  #heardAt: number;
  #electionDueAt = 0;
  #heartbeatDueAt = 0;
  #applied: number;
  #hasYielded = false;
  #yieldedAt = 0;

  /** Creates a follower from what was stored. */
  constructor(options: ConsensusNodeOptions<C, S>) {
    const { stored } = options;
    this.#options = options;
    this.#guards = options.guards ?? ALL_GUARDS;
    this.#log = new ReplicatedLog(stored.snapshot, stored.entries);
    this.#term = stored.hardState.term;
    this.#votedFor = stored.hardState.votedFor;
    this.#applied = stored.snapshot.index;
    this.#heardAt = options.now;
    const { electionMs } = options.times;
    const spread = 1 + FIRST_SPREAD * options.random();
    this.#electionDueAt = options.now + electionMs * spread;
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

  /** Gets this replica. */
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

  /** Gets the leader, as far as it is known. */
  get leader(): ReplicaId | undefined {
    return this.role === Role.Leader ? this.self : this.#leader;
  }

  /** Gets the members as of the last entry. */
  get members(): Members {
    return this.#log.members;
  }

  /** Gets the greatest committed position. */
  get committed(): number {
    return this.#log.committed;
  }

  /** Gets the position of the last entry. */
  get last(): LogPosition {
    return this.#log.last;
  }

  /** Gets everything that must survive, for a whole rewrite of the store. */
  get stored(): StoredLog<C, S> {
    return {
      hardState: { term: this.#term, votedFor: this.#votedFor },
      snapshot: this.#log.snapshot,
      entries: this.#log.from(this.#log.snapshot.index + 1, Infinity),
    };
  }

  /** Gets the number of entries held after the snapshot. */
  get logSize(): number {
    return this.#log.size;
  }

  /** Gets whether the leader has committed an entry of its own term. */
  get isSettled(): boolean {
    if (this.role !== Role.Leader) return false;
    return this.#log.termAt(this.committed) === this.#term;
  }

  /** Takes the collected effects. */
  takeEffects(): ConsensusEffect<C, S>[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /**
   * Gets until when this leader may act alone, by its own clock.
   *
   * Voters grant no vote before `electionMs` of their own clocks have passed
   * since they heard the leader, and they heard it after it sent.
   */
  leaseEnd(now: number): number {
    if (this.role !== Role.Leader || this.#hasYielded) return -Infinity;
    if (this.#tracker === undefined || !this.isSettled) return -Infinity;
    const { electionMs, clockRateError } = this.#options.times;
    const contactAt = this.#tracker.quorumContactAt(this.members, now);
    const leaseMs = electionMs / (1 + clockRateError);
    return contactAt + leaseMs;
  }

  /** Gets the time since which a quorum is known to follow this leader. */
  contactAt(now: number): number {
    if (this.role !== Role.Leader || this.#hasYielded) return -Infinity;
    return this.#tracker?.quorumContactAt(this.members, now) ?? -Infinity;
  }

  /** Asks all replicas at once whether they still follow this leader. */
  probeQuorum(now: number): void {
    if (this.role !== Role.Leader) return;
    this.#heartbeatDueAt = now + this.#options.times.heartbeatMs;
    this.#sender?.broadcast(this.members, now, { isHeartbeat: true });
  }

  /** Gets whether this leader may act alone now. */
  hasLease(now: number): boolean {
    return now < this.leaseEnd(now);
  }

  /** Gets whether a replica holds everything that is committed. */
  isWhole(replica: ReplicaId, now: number): boolean {
    if (this.#tracker === undefined || !this.isSettled) return false;
    const progress = this.#tracker.of(replica);
    const { electionMs } = this.#options.times;
    if (!this.#guards.learnerWhole) return progress.answeredAt > -Infinity;
    return progress.match >= this.committed &&
      now - progress.answeredAt < electionMs;
  }

  /**
   * Adds a command to the log.
   * @returns Its position, or undefined where this replica is not the leader.
   */
  propose(command: C, now: number): LogPosition | undefined {
    if (this.role !== Role.Leader || this.#hasYielded) return undefined;
    return this.#appendOwn({ type: "command", command }, now);
  }

  /**
   * Changes the members by one voter.
   * @returns Its position, or undefined where it cannot be done now.
   */
  proposeMembers(members: Members, now: number): LogPosition | undefined {
    if (!this.isSettled || this.#hasYielded) return undefined;
    if (this.#log.hasOpenMembersChange) return undefined;
    if (!isSingleChange(this.members, members)) return undefined;
    const added = members.voters
      .filter((id) => !this.members.voters.includes(id));
    if (!added.every((id) => this.isWhole(id, now))) return undefined;
    return this.#appendOwn({ type: "members", members }, now);
  }

  /**
   * Hands leadership to a voter that holds the whole log.
   *
   * The lease ends at once; where nobody takes over in time, this replica
   * steps down all the same.
   */
  yieldLeadership(now: number): boolean {
    const tracker = this.#tracker;
    if (this.role !== Role.Leader || tracker === undefined) return false;
    const heirs = this.members.voters
      .filter((id) => id !== this.self)
      .filter((id) => tracker.of(id).match === this.last.index)
      .sort((a, b) => tracker.of(b).answeredAt - tracker.of(a).answeredAt);
    if (heirs.length === 0) return false;
    this.#hasYielded = true;
    this.#yieldedAt = now;
    this.#send({ type: "transferRequest", ...this.#base(heirs[0]) });
    return true;
  }

  /** Records that a write has been synced. */
  onWritten(write: { lastIndex: number; term: number }, now: number): void {
    if (this.role !== Role.Leader || write.term !== this.#term) return;
    this.#tracker?.onSelfStored(write.lastIndex);
    this.#advanceCommit(now);
  }

  /** Takes in a message. */
  receive(message: ConsensusMessage<C, S>, now: number): void {
    if (message.to !== this.self) return;
    if (message.term > this.#term && raisesTerm(message)) {
      const isLeader = message.type === "appendRequest" ||
        message.type === "snapshotRequest";
      if (this.#ignoresVote(message, now)) return;
      this.#becomeFollower(message.term, isLeader ? message.from : undefined);
    }
    const handler = this.#handlers[message.type] as (
      message: ConsensusMessage<C, S>,
      now: number,
    ) => void;
    handler(message, now);
  }

  /** Does what is due. */
  tick(now: number): void {
    if (this.role === Role.Leader) {
      this.#tickLeader(now);
      return;
    }
    if (now < this.#electionDueAt || !this.#isVoter()) return;
    this.#startPreVote(now);
  }

  /** Gets when {@link ConsensusNode.tick} is due next; infinite for never. */
  get nextTickAt(): number {
    if (this.role === Role.Leader) return this.#heartbeatDueAt;
    return this.#isVoter() ? this.#electionDueAt : Infinity;
  }

  /** Replaces applied entries by a snapshot of the application. */
  compact(state: S, index: number): void {
    const term = this.#log.termAt(index);
    const isApplied = index > this.#log.snapshot.index &&
      index <= this.#applied;
    if (term === undefined || !isApplied) return;
    const members = this.#log.membersAt(index);
    const whole: LogSnapshot<S> = { index, term, members, state };
    this.#log.compact(whole);
    this.#effects.push({
      type: "write",
      snapshot: whole,
      lastIndex: this.last.index,
      term: this.#term,
    });
  }

  #base(to: ReplicaId): { from: ReplicaId; to: ReplicaId; term: number } {
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
    const spread = 1 + this.#options.random();
    this.#electionDueAt = now + electionMs * spread;
  }

  #hearsLeader(now: number): boolean {
    const { electionMs } = this.#options.times;
    return now - this.#heardAt < electionMs;
  }

  #ignoresVote(message: ConsensusMessage<C, S>, now: number): boolean {
    if (message.type !== "voteRequest" || message.isTransfer) return false;
    if (!this.#guards.leaderStickiness) return false;
    return this.role === Role.Leader
      ? this.hasLease(now)
      : this.#hearsLeader(now);
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
    this.#hasYielded = false;
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
    this.#resetElection(now);
    this.#askVoters((ask) => ({ type: "preVoteRequest", ...ask }));
    this.#countPreVotes(now);
  }

  /** Asks every other voter, with the end of the own log. */
  #askVoters(
    create: (ask: Omit<PreVoteRequest, "type">) => PreVoteRequest | VoteRequest,
  ): void {
    this.#votes = new Set([this.self]);
    const { index: lastIndex, term: lastTerm } = this.last;
    for (const voter of this.members.voters) {
      if (voter === this.self) continue;
      this.#send(create({ ...this.#base(voter), lastIndex, lastTerm }));
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
    this.#askVoters((ask) => ({ type: "voteRequest", ...ask, isTransfer }));
    this.#countVotes(now);
  }

  #hasQuorumOfVotes(): boolean {
    const { members } = this;
    const counted = members.voters.filter((id) => this.#votes.has(id));
    return counted.length >= quorumSize(members);
  }

  #countVotes(now: number): void {
    if (!this.#hasQuorumOfVotes()) return;
    this.#lifecycle.send(RoleEvent.Elected);
    this.#leader = this.self;
    this.#hasYielded = false;
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
      send: (message) => this.#send(message),
    });
    this.#effects.push({ type: "role", role: this.role, term: this.#term });
    this.#appendOwn({ type: "noop" }, now);
  }

  #appendOwn(content: EntryContent<C>, now: number): LogPosition {
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
    if (content.type === "members") this.#tracker?.keepOnly(content.members);
    this.#sender?.broadcast(this.members, now, { isHeartbeat: false });
    return { index: entry.index, term: entry.term };
  }

  #tickLeader(now: number): void {
    const { electionMs, heartbeatMs } = this.#options.times;
    const tracker = this.#tracker;
    if (tracker === undefined) return;
    const contactAt = Math.max(
      tracker.quorumContactAt(this.members, now),
      tracker.startedAt,
    );
    const hasWaited = this.#hasYielded && now - this.#yieldedAt > electionMs;
    if (now - contactAt > electionMs || hasWaited) {
      this.#becomeFollower(this.#term, undefined);
      this.#resetElection(now);
      return;
    }
    if (now < this.#heartbeatDueAt) return;
    this.#heartbeatDueAt = now + heartbeatMs;
    this.#sender?.broadcast(this.members, now, { isHeartbeat: true });
  }

  #advanceCommit(now: number): void {
    const tracker = this.#tracker;
    if (tracker === undefined) return;
    const index = tracker.storedByQuorum(this.members);
    if (index <= this.committed) return;
    const isOwnTerm = this.#log.termAt(index) === this.#term;
    if (!isOwnTerm && this.#guards.commitOwnTermOnly) return;
    this.#commitTo(index);
    this.#sender?.tellCommitted(this.members, now);
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

  #onPreVoteRequest(message: PreVoteRequest, now: number): void {
    const isLeased = this.role === Role.Leader || this.#hearsLeader(now);
    const isRefused = isLeased && this.#guards.leaderStickiness;
    const isGranted = !isRefused && this.#isVoter() &&
      message.term >= this.#term &&
      this.#log.isAtMost({ index: message.lastIndex, term: message.lastTerm });
    this.#send({
      type: "preVoteReply",
      ...this.#base(message.from),
      isGranted,
    });
  }

  #onPreVoteReply(message: PreVoteReply, now: number): void {
    if (this.role !== Role.PreCandidate || !message.isGranted) return;
    this.#votes.add(message.from);
    this.#countPreVotes(now);
  }

  #onVoteRequest(message: VoteRequest, now: number): void {
    if (this.#ignoresVote(message, now)) return;
    const isFree = this.#votedFor === undefined ||
      this.#votedFor === message.from;
    const isGranted = message.term === this.#term && isFree &&
      this.role === Role.Follower &&
      this.#log.isAtMost({ index: message.lastIndex, term: message.lastTerm });
    if (isGranted) {
      this.#votedFor = message.from;
      if (this.#guards.voteStored) this.#writeHardState();
      this.#resetElection(now);
    }
    this.#send({ type: "voteReply", ...this.#base(message.from), isGranted });
  }

  #onVoteReply(message: VoteReply, now: number): void {
    if (this.role !== Role.Candidate || !message.isGranted) return;
    if (message.term !== this.#term) return;
    this.#votes.add(message.from);
    this.#countVotes(now);
  }

  #onLeaderHeard(from: ReplicaId, now: number): void {
    assertInvariant(
      this.role !== Role.Leader,
      Invariant.OneLeaderPerTerm,
      `${from} and ${this.self} lead term ${this.#term}`,
    );
    if (this.role !== Role.Follower) this.#becomeFollower(this.#term, from);
    assertInvariant(
      this.#leader === undefined || this.#leader === from,
      Invariant.OneLeaderPerTerm,
      `${from} and ${this.#leader} lead term ${this.#term}`,
    );
    this.#leader = from;
    this.#heardAt = now;
    this.#resetElection(now);
  }

  #onAppendRequest(message: AppendRequest<C>, now: number): void {
    if (message.term < this.#term) {
      this.#replyAppend(message, { isAccepted: false, matchIndex: 0 });
      return;
    }
    this.#onLeaderHeard(message.from, now);
    const { prevIndex, prevTerm } = message;
    const isBeforeSnapshot = prevIndex < this.#log.snapshot.index;
    if (!isBeforeSnapshot && this.#log.termAt(prevIndex) !== prevTerm) {
      const matchIndex = this.#log.lastBeforeTermOf(prevIndex);
      this.#replyAppend(message, { isAccepted: false, matchIndex });
      return;
    }
    this.#store(message.entries);
    const matchIndex = prevIndex + message.entries.length;
    this.#commitTo(Math.min(message.committed, matchIndex));
    this.#replyAppend(message, { isAccepted: true, matchIndex });
  }

  #store(entries: readonly LogEntry<C>[]): void {
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
      ...this.#base(message.from),
      ...reply,
      sentAt: message.sentAt,
    });
  }

  #onAppendReply(message: AppendReply, now: number): void {
    const tracker = this.#tracker;
    if (this.role !== Role.Leader || tracker === undefined) return;
    if (message.term !== this.#term) return;
    if (!allMembers(this.members).includes(message.from)) return;
    const progress = tracker.of(message.from);
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
    const reach = Math.min(this.committed, progress.match);
    const isHeartbeat = progress.told < reach;
    this.#sender?.replicate(message.from, now, { isHeartbeat });
  }

  #onSnapshotRequest(message: SnapshotRequest<S>, now: number): void {
    if (message.term < this.#term) {
      this.#replyAppend(message, { isAccepted: false, matchIndex: 0 });
      return;
    }
    this.#onLeaderHeard(message.from, now);
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

/** A pre-vote raises no term; only its refusal tells of a greater one. */
function raisesTerm<C, S>(message: ConsensusMessage<C, S>): boolean {
  if (message.type === "preVoteRequest") return false;
  return message.type !== "preVoteReply" || !message.isGranted;
}
