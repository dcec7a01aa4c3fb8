/** Leadership of a replica in one term: commits, lease and members. */
import type { AppendReply, SnapshotPartReply } from "./consensus_message.ts";
import type { ConsensusTiming } from "./consensus_options.ts";
import type { LeaderDelay } from "./leader_delay.ts";
import type { EntryContent, LogEntry, LogSnapshot } from "./log_entry.ts";
import { LogSender } from "./log_sender.ts";
import { allMembers, isSingleChange, type Members } from "./members.ts";
import type { ReplicaId } from "./replica_id.ts";
import type { ReplicaState } from "./replica_state.ts";
import type { LogPosition } from "./replicated_log.ts";
import { ReplicationTracker, type SentAmount } from "./replication_tracker.ts";
import { Role } from "./role.ts";
import type { SnapshotDivider } from "./snapshot_parts.ts";
import type { StateReferences } from "./state_references.ts";

/** Options of {@link Leadership}. */
export interface LeadershipOptions<C, S> {
  readonly state: ReplicaState<C, S>;
  readonly times: ConsensusTiming;
  /** Measures how late the ticks of this process come, in all terms. */
  readonly delay: LeaderDelay;
  readonly divider: SnapshotDivider<S>;
  readonly references: StateReferences<C, S> | undefined;
  /** Time of the election, in milliseconds of the local clock. */
  readonly now: number;
  /** Called when a committed entry has removed this replica from the voters. */
  readonly stepDown: () => void;
}

/**
 * Election timeouts without an answer of a quorum after which a leader steps
 * down even if its ticks come late, or one that is always late would stay.
 */
const MAX_SILENCE_FACTOR = 4;
/** Time without an answer after which no entries are kept for a member. */
const KEEP_SILENCE_MS = 2_000;

/**
 * Replicates entries, commits them and keeps the leader lease. Its methods may
 * be called only while the replica leads.
 *
 * @example
 * ```ts
 * const position = leadership.propose({ type: "noop" }, now);
 * ```
 */
export class Leadership<C, S> {
  readonly #options: LeadershipOptions<C, S>;
  readonly #state: ReplicaState<C, S>;
  readonly #tracker: ReplicationTracker;
  readonly #sender: LogSender<C, S>;
  #heartbeatDueAt: number;
  /** Time of the last tick that came late. */
  #lateTickAt = -Infinity;
  /** Time at which a transfer was started; undefined if there is none. */
  #transferStartedAt: number | undefined;

  /** Creates the leadership of a replica that has just been elected. */
  constructor(options: LeadershipOptions<C, S>) {
    const { state, times, delay, divider, now } = options;
    this.#options = options;
    this.#state = state;
    this.#tracker = new ReplicationTracker({
      self: state.self,
      next: state.last.index + 1,
      now,
    });
    this.#sender = new LogSender({
      self: state.self,
      term: state.term,
      log: state.log,
      tracker: this.#tracker,
      heartbeatMs: times.heartbeatMs,
      divider,
      isLearner: (id) => state.members.learners.includes(id),
      createReferences: () => this.#createReferences(),
      isPartial: () => this.isPartial(state.self),
      electionDelayMs: (at) => delay.get(at),
      send: (message) => state.send(message),
    });
    this.#heartbeatDueAt = now;
  }

  /** Gets the time at which the next heartbeat is due. */
  get heartbeatDueAt(): number {
    return this.#heartbeatDueAt;
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
    if (!this.#state.hasCommittedOwnTerm) return -Infinity;
    const { electionMs, clockRateError } = this.#options.times;
    return this.quorumContactAt(now) + electionMs / (1 + clockRateError);
  }

  /**
   * Gets the latest time at which a quorum was known to follow this leader, or
   * -Infinity if it is transferring leadership.
   */
  quorumContactAt(now: number): number {
    if (this.#isTransferring) return -Infinity;
    return this.#tracker.quorumContactAt(this.#state.members, now);
  }

  /** Gets whether a replica holds all committed entries and answers. */
  isCaughtUp(replica: ReplicaId, now: number): boolean {
    const { state, times } = this.#options;
    if (!state.hasCommittedOwnTerm) return false;
    const progress = this.#tracker.progressOf(replica);
    if (!state.guards.learnerCaughtUp) return progress.answeredAt > -Infinity;
    return progress.match >= state.log.committed &&
      now - progress.answeredAt < times.electionMs;
  }

  /**
   * Gets whether a replica lacks data that its state refers to. One that has not
   * answered in this term counts as if it did.
   */
  isPartial(replica: ReplicaId): boolean {
    const { references, state } = this.#options;
    if (references === undefined) return false;
    if (replica === state.self) return references.isPartial();
    return this.#tracker.progressOf(replica).isPartial;
  }

  /** Gets the highest index that a member is known to hold. */
  heldBy(replica: ReplicaId): number {
    return this.#tracker.progressOf(replica).match;
  }

  /** Gets what was sent to a member in this term. */
  sentTo(replica: ReplicaId): Readonly<SentAmount> {
    return this.#tracker.progressOf(replica).sent;
  }

  /** Gets whether a snapshot is being sent in parts. */
  get isSendingSnapshot(): boolean {
    return this.#tracker.isSendingSnapshot;
  }

  /**
   * Gets the last index before the entries that members still need. Silent
   * members, and those that need a snapshot, need none.
   */
  getNeededAfter(now: number): number {
    const { log, members, self } = this.#state;
    const needed = allMembers(members)
      .filter((id) => id !== self)
      .map((id) => this.#tracker.progressOf(id))
      .filter((progress) => now - progress.answeredAt < KEEP_SILENCE_MS)
      .map(({ transfer, match }) => transfer?.snapshot.index ?? match)
      .filter((index) => log.holdsAfter(index));
    return Math.min(log.snapshot.index, ...needed);
  }

  /**
   * Sends a replica the latest snapshot in place of an earlier one, whose parts
   * can no longer be read.
   */
  abandonTransfer(replica: ReplicaId, index: number): void {
    if (index === this.#state.log.snapshot.index) return;
    const progress = this.#tracker.progressOf(replica);
    if (progress.transfer?.snapshot.index === index) {
      progress.transfer = undefined;
    }
  }

  /**
   * Appends an entry to the log.
   * @returns Undefined if this leader is transferring leadership.
   */
  propose(content: EntryContent<C>, now: number): LogPosition | undefined {
    if (this.#isTransferring) return undefined;
    return this.#append(content, now);
  }

  /**
   * Proposes a membership; see `ConsensusNode.proposeMembers`.
   * @returns Undefined if the change is not allowed.
   */
  proposeMembers(members: Members, now: number): LogPosition | undefined {
    const state = this.#state;
    if (!state.hasCommittedOwnTerm || this.#isTransferring) return undefined;
    if (state.log.hasPendingMembersChange) return undefined;
    if (!isSingleChange(state.members, members)) return undefined;
    const added = members.voters
      .filter((id) => !state.members.voters.includes(id));
    if (!added.every((id) => this.isCaughtUp(id, now))) return undefined;
    return this.#append({ type: "members", members }, now);
  }

  /**
   * Transfers leadership to a voter that holds the complete log.
   * @returns Whether a transfer was started.
   */
  transfer(now: number): boolean {
    const state = this.#state;
    const tracker = this.#tracker;
    const successors = state.members.voters
      .filter((id) => id !== state.self)
      .filter((id) => tracker.progressOf(id).match === state.last.index)
      .sort((a, b) =>
        Number(this.isPartial(a)) - Number(this.isPartial(b)) ||
        tracker.progressOf(b).answeredAt - tracker.progressOf(a).answeredAt
      );
    if (successors.length === 0) return false;
    this.#transferStartedAt = now;
    state.send({ type: "transferRequest", ...state.envelope(successors[0]) });
    return true;
  }

  /** Sends heartbeats at once. */
  sendHeartbeats(now: number): void {
    this.#heartbeatDueAt = now + this.#options.times.heartbeatMs;
    const { log } = this.#state;
    if (log.keptBytes > 0) log.keepAfter(this.getNeededAfter(now));
    this.#sender.broadcast(this.#state.members, now, { isHeartbeat: true });
  }

  /** Records how late a tick comes. */
  onTick(now: number): this {
    const { delay, times } = this.#options;
    const lagMs = now - this.#heartbeatDueAt;
    delay.onTick(now, lagMs);
    if (lagMs > times.heartbeatMs) this.#lateTickAt = now;
    return this;
  }

  /** Gets whether the quorum is lost, or no voter took over in a transfer. */
  mustStepDown(now: number): boolean {
    const startedAt = this.#transferStartedAt ?? Infinity;
    return this.#hasLostQuorum(now) ||
      now - startedAt > this.#options.times.electionMs;
  }

  /** Handles the completion of a synced write of this term. */
  onWritten(lastIndex: number, now: number): void {
    this.#tracker.onSelfStored(lastIndex);
    this.#advanceCommit(now);
  }

  /** Updates the progress of a member, commits and sends what follows. */
  onAppendReply(message: AppendReply, now: number): void {
    const state = this.#state;
    if (message.term !== state.term) return;
    if (!allMembers(state.members).includes(message.from)) return;
    const progress = this.#tracker.progressOf(message.from);
    progress.answeredAt = Math.max(progress.answeredAt, message.sentAt);
    progress.takesParts = message.takesParts === true;
    progress.takesReferences = message.takesReferences === true &&
      this.#options.references !== undefined;
    progress.isPartial = message.isPartial === true;
    if (!message.isAccepted) {
      this.#onRejected(message, now);
      return;
    }
    progress.isProbing = false;
    progress.match = Math.max(progress.match, message.matchIndex);
    progress.next = Math.max(progress.next, progress.match + 1);
    progress.window.acknowledge(progress.match);
    this.#advanceCommit(now);
    if (state.role !== Role.Leader) return;
    const knownCommit = Math.min(state.log.committed, progress.match);
    const isHeartbeat = progress.sentCommit < knownCommit;
    this.#sender.replicate(message.from, now, { isHeartbeat });
  }

  /** Sends what follows the parts of a snapshot that a member holds. */
  onSnapshotPartReply(message: SnapshotPartReply, now: number): void {
    const state = this.#state;
    if (message.term !== state.term) return;
    if (!allMembers(state.members).includes(message.from)) return;
    const progress = this.#tracker.progressOf(message.from);
    progress.answeredAt = Math.max(progress.answeredAt, message.sentAt);
    const { transfer } = progress;
    if (transfer?.snapshot.index !== message.index) return;
    transfer.onReply(message.received, message.sentAt);
    this.#sender.replicate(message.from, now, { isHeartbeat: false });
  }

  /** Goes back to where the member's log may match. */
  #onRejected(message: AppendReply, now: number): void {
    const progress = this.#tracker.progressOf(message.from);
    // Messages sent before the last step back are rejected as well.
    const isOld = !progress.window.isEmpty &&
      message.sentAt < progress.window.oldestAt;
    if (isOld) return;
    const { match } = progress;
    const next = Math.min(progress.next, message.matchIndex + 1);
    progress.next = Math.max(1, match + 1, next);
    progress.isProbing = true;
    progress.window.clear();
    this.#sender.replicate(message.from, now, { isHeartbeat: true });
  }

  /** Creates a snapshot of all that is applied, with references to its data. */
  #createReferences(): LogSnapshot<S> {
    const { references, state } = this.#options;
    const { snapshot } = state.log;
    if (references === undefined) return snapshot;
    const applied = references.getApplied();
    const latest = state.createSnapshot(applied.state, applied.index) ??
      snapshot;
    return { ...latest, state: references.detach(latest.state) };
  }

  get #isTransferring(): boolean {
    return this.#transferStartedAt !== undefined;
  }

  #append(content: EntryContent<C>, now: number): LogPosition {
    const state = this.#state;
    const position = { index: state.last.index + 1, term: state.term };
    const entry: LogEntry<C> = { ...position, content };
    state.append(entry);
    if (content.type === "members") {
      this.#tracker.retainMembers(content.members);
    }
    this.#sender.broadcast(state.members, now, { isHeartbeat: false });
    return position;
  }

  /**
   * Gets whether no quorum has answered for too long. After a late tick, replies
   * may wait to be read, so the time counts from that tick.
   */
  #hasLostQuorum(now: number): boolean {
    const { electionMs } = this.#options.times;
    const contactAt = Math.max(
      this.#tracker.quorumContactAt(this.#state.members, now),
      this.#tracker.startedAt,
    );
    const silentMs = now - Math.max(contactAt, this.#lateTickAt);
    return silentMs > electionMs ||
      now - contactAt > MAX_SILENCE_FACTOR * electionMs;
  }

  #advanceCommit(now: number): void {
    const state = this.#state;
    const index = this.#tracker.storedByQuorum(state.members);
    if (index <= state.log.committed) return;
    const isOwnTerm = state.log.termAt(index) === state.term;
    if (!isOwnTerm && state.guards.commitOwnTermOnly) return;
    state.commitTo(index);
    this.#sender.sendCommitIndex(state.members, now);
    if (!state.isVoter) this.#options.stepDown();
  }
}
