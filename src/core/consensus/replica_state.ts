/** State of a replica that its elections, its leadership and its log share. */
import type { ConsensusEffect } from "./consensus_effect.ts";
import type { ConsensusMessage, MessageBase } from "./consensus_message.ts";
import {
  ALL_GUARDS,
  type ConsensusGuards,
  type ConsensusNodeOptions,
  type StoredLog,
} from "./consensus_options.ts";
import type { LogEntry, LogSnapshot } from "./log_entry.ts";
import type { Members } from "./members.ts";
import type { ReplicaId } from "./replica_id.ts";
import {
  type KeptEntries,
  type LogPosition,
  ReplicatedLog,
} from "./replicated_log.ts";
import { Role, type RoleEvent, RoleStateMachine } from "./role.ts";

type WriteEffect<C, S> = Extract<ConsensusEffect<C, S>, { type: "write" }>;

/**
 * Holds the log, the term and the role of a replica, and queues its effects.
 *
 * @example
 * ```ts
 * const state = new ReplicaState(options).raiseTerm(message.term);
 * const [write] = state.takeEffects(); // the hard state of the new term
 * ```
 */
export class ReplicaState<C, S> {
  readonly self: ReplicaId;
  readonly guards: ConsensusGuards;
  readonly log: ReplicatedLog<C, S>;
  readonly #lifecycle = new RoleStateMachine();
  #term: number;
  #votedFor: ReplicaId | undefined;
  #leader: ReplicaId | undefined;
  #applied: number;
  #effects: ConsensusEffect<C, S>[] = [];

  /** Creates the state of a follower from what is stored. */
  constructor(options: ConsensusNodeOptions<C, S>) {
    const { self, stored, guards } = options;
    this.self = self;
    this.guards = guards ?? ALL_GUARDS;
    this.log = new ReplicatedLog(stored.snapshot, stored.entries, options);
    this.#term = stored.hardState.term;
    this.#votedFor = stored.hardState.votedFor;
    this.#applied = stored.snapshot.index;
  }

  /** Gets the current term. */
  get term(): number {
    return this.#term;
  }

  /** Gets the candidate with this replica's vote in the current term. */
  get votedFor(): ReplicaId | undefined {
    return this.#votedFor;
  }

  /** Gets the role. */
  get role(): Role {
    return this.#lifecycle.role;
  }

  /** Gets the leader of the current term, or undefined if it is not known. */
  get leader(): ReplicaId | undefined {
    return this.#leader;
  }

  /** Gets the members as of the last log entry, committed or not. */
  get members(): Members {
    return this.log.members;
  }

  /** Gets whether this replica is a voter as of the last log entry. */
  get isVoter(): boolean {
    return this.members.voters.includes(this.self);
  }

  /** Gets the index and term of the last entry. */
  get last(): LogPosition {
    return this.log.last;
  }

  /** Gets whether this replica leads and has committed an entry of its term. */
  get hasCommittedOwnTerm(): boolean {
    return this.isOfOwnTerm(this.log.committed);
  }

  /** Gets whether this replica leads, and an entry is of its own term. */
  isOfOwnTerm(index: number): boolean {
    return this.role === Role.Leader && this.log.termAt(index) === this.#term;
  }

  /** Gets the complete persistent state. */
  get stored(): StoredLog<C, S> {
    return {
      hardState: { term: this.#term, votedFor: this.#votedFor },
      snapshot: this.log.snapshot,
      entries: this.log.entriesFrom(this.log.snapshot.index + 1, Infinity),
    };
  }

  /** Returns the queued effects and clears the queue. */
  takeEffects(): ConsensusEffect<C, S>[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Sets the known leader. */
  setLeader(leader: ReplicaId | undefined): this {
    this.#leader = leader;
    return this;
  }

  /** Applies an event to the role. */
  transition(event: RoleEvent): this {
    this.#lifecycle.send(event);
    return this;
  }

  /** Queues the effect that announces the role. */
  announceRole(): this {
    this.#effects.push({ type: "role", role: this.role, term: this.#term });
    return this;
  }

  /** Adopts a higher term, without a vote in it; ignores any other. */
  raiseTerm(term: number): this {
    if (term <= this.#term) return this;
    this.#term = term;
    this.#votedFor = undefined;
    return this.#writeHardState();
  }

  /** Begins the next term with a vote for this replica. */
  startTerm(): this {
    this.#term += 1;
    this.#votedFor = this.self;
    return this.#writeHardState();
  }

  /** Grants this replica's vote in the current term. */
  voteFor(candidate: ReplicaId): this {
    this.#votedFor = candidate;
    return this.guards.voteStored ? this.#writeHardState() : this;
  }

  /** Gets the fields common to all messages to a replica. */
  envelope(to: ReplicaId): MessageBase {
    return { from: this.self, to, term: this.#term };
  }

  /** Queues a message. */
  send(message: ConsensusMessage<C, S>): this {
    this.#effects.push({ type: "send", message });
    return this;
  }

  /** Appends an entry of the leader of the current term. */
  append(entry: LogEntry<C>): this {
    this.log.append([entry]);
    return this.#write({ entries: [entry] });
  }

  /** Stores the entries of a leader, which replace those that differ. */
  storeEntries(entries: readonly LogEntry<C>[]): this {
    const isNew = (entry: LogEntry<C>) =>
      entry.index > this.log.snapshot.index &&
      this.log.termAt(entry.index) !== entry.term;
    const start = entries.findIndex(isNew);
    if (start < 0) return this;
    const added = entries.slice(start);
    const truncateFrom = added[0].index;
    if (truncateFrom <= this.last.index) this.log.truncateFrom(truncateFrom);
    this.log.append(added);
    return this.#write({ truncateFrom, entries: added });
  }

  /** Commits the entries up to an index and queues their application. */
  commitTo(index: number): this {
    this.log.commit(Math.min(index, this.last.index));
    const entries: LogEntry<C>[] = [];
    for (let i = this.#applied + 1; i <= this.log.committed; i += 1) {
      const entry = this.log.entryAt(i);
      if (entry !== undefined) entries.push(entry);
    }
    if (entries.length === 0) return this;
    this.#applied = this.log.committed;
    this.#effects.push({ type: "apply", entries });
    return this;
  }

  /** Replaces the log with a snapshot of the leader. */
  restore(snapshot: LogSnapshot<S>): this {
    this.log.restore(snapshot);
    this.#applied = snapshot.index;
    this.#write({ snapshot, truncateFrom: this.last.index + 1 });
    this.#effects.push({ type: "restore", snapshot });
    return this;
  }

  /**
   * Creates a snapshot of the application state after an entry.
   * @returns Undefined if the entry is not held, or has not been applied.
   */
  createSnapshot(state: S, index: number): LogSnapshot<S> | undefined {
    const term = this.log.termAt(index);
    const isApplied = index >= this.log.snapshot.index &&
      index <= this.#applied;
    if (term === undefined || !isApplied) return undefined;
    return { index, term, members: this.log.membersAt(index), state };
  }

  /**
   * Replaces the entries of a snapshot of this replica by it. One of the same
   * entry as the snapshot in force replaces it: it has data that was missing.
   * @returns False if a later snapshot is in force.
   */
  compact(snapshot: LogSnapshot<S>, kept?: KeptEntries): boolean {
    if (snapshot.index < this.log.snapshot.index) return false;
    this.log.compact(snapshot, kept);
    this.#write({ snapshot });
    return true;
  }

  #writeHardState(): this {
    const hardState = { term: this.#term, votedFor: this.#votedFor };
    return this.#write({ hardState });
  }

  #write(
    fields: Omit<WriteEffect<C, S>, "type" | "lastIndex" | "term">,
  ): this {
    this.#effects.push({
      type: "write",
      ...fields,
      lastIndex: this.last.index,
      term: this.#term,
    });
    return this;
  }
}
