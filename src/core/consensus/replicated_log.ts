/** The part of the log that a replica holds in memory. */
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import type { LogEntry, LogSnapshot } from "./log_entry.ts";
import type { Members } from "./members.ts";

/** Position and term of an entry. */
export interface LogPosition {
  /** Position. */
  readonly index: number;
  /** Term. */
  readonly term: number;
}

/** Holds a snapshot and the entries after it. */
export class ReplicatedLog<C, S> {
  #snapshot: LogSnapshot<S>;
  #entries: LogEntry<C>[];
  #committed: number;
  /** Members as of the last entry; undefined where they must be looked up. */
  #members: Members | undefined;

  /** Creates a log from what was stored. */
  constructor(snapshot: LogSnapshot<S>, entries: readonly LogEntry<C>[]) {
    this.#snapshot = snapshot;
    this.#entries = entries.filter((entry) => entry.index > snapshot.index);
    this.#committed = snapshot.index;
  }

  /** Gets the snapshot before the first held entry. */
  get snapshot(): LogSnapshot<S> {
    return this.#snapshot;
  }

  /** Gets the position of the last entry. */
  get last(): LogPosition {
    return this.#entries.at(-1) ?? this.#snapshot;
  }

  /** Gets the greatest committed position. */
  get committed(): number {
    return this.#committed;
  }

  /** Gets the number of held entries. */
  get size(): number {
    return this.#entries.length;
  }

  /** Gets the term of an entry, or undefined where it is not held. */
  termAt(index: number): number | undefined {
    if (index === this.#snapshot.index) return this.#snapshot.term;
    return this.entryAt(index)?.term;
  }

  /**
   * Gets the position before the first entry of the term at a position.
   *
   * A leader whose entry there differs goes back a whole term at once.
   */
  lastBeforeTermOf(index: number): number {
    if (index > this.last.index) return this.last.index;
    const term = this.termAt(index);
    let first = index;
    while (first > this.#committed + 1 && this.termAt(first - 1) === term) {
      first -= 1;
    }
    return Math.max(0, first - 1);
  }

  /** Gets an entry, or undefined where it is not held. */
  entryAt(index: number): LogEntry<C> | undefined {
    return this.#entries[index - this.#snapshot.index - 1];
  }

  /** Gets entries from a position on. */
  from(index: number, max: number): LogEntry<C>[] {
    const start = index - this.#snapshot.index - 1;
    return this.#entries.slice(start, start + max);
  }

  /** Gets the members as of the last entry, committed or not. */
  get members(): Members {
    this.#members ??= this.membersAt(this.last.index);
    return this.#members;
  }

  /** Gets whether a change of members waits to be committed. */
  get hasOpenMembersChange(): boolean {
    return this.#entries.some((entry) =>
      entry.index > this.#committed && entry.content.type === "members"
    );
  }

  /** Gets the members as of a held position. */
  membersAt(index: number): Members {
    for (let i = index; i > this.#snapshot.index; i -= 1) {
      const content = this.entryAt(i)?.content;
      if (content?.type === "members") return content.members;
    }
    return this.#snapshot.members;
  }

  /** Gets whether another log is at least as complete as this one. */
  isAtMost(other: LogPosition): boolean {
    const { last } = this;
    if (other.term !== last.term) return other.term > last.term;
    return other.index >= last.index;
  }

  /** Adds entries at the end. */
  append(entries: readonly LogEntry<C>[]): this {
    this.#entries.push(...entries);
    if (entries.some((e) => e.content.type === "members")) {
      this.#members = undefined;
    }
    return this;
  }

  /** Removes entries from a position on. */
  truncateFrom(index: number): this {
    assertInvariant(
      index > this.#committed,
      Invariant.CommittedStays,
      `Entry ${index} is committed (up to ${this.#committed})`,
    );
    this.#entries.length = Math.max(0, index - this.#snapshot.index - 1);
    this.#members = undefined;
    return this;
  }

  /** Moves the committed position forward. */
  commit(index: number): this {
    this.#committed = Math.max(this.#committed, index);
    return this;
  }

  /** Replaces entries up to a committed position by a snapshot. */
  compact(snapshot: LogSnapshot<S>): this {
    const kept = snapshot.index - this.#snapshot.index;
    this.#entries = this.#entries.slice(Math.max(0, kept));
    this.#snapshot = snapshot;
    return this;
  }

  /** Replaces everything by a snapshot from the leader. */
  restore(snapshot: LogSnapshot<S>): this {
    assertInvariant(
      snapshot.index >= this.#committed,
      Invariant.CommittedStays,
      `Snapshot ${snapshot.index} before ${this.#committed}`,
    );
    const isHeld = this.termAt(snapshot.index) === snapshot.term;
    if (isHeld) this.compact(snapshot);
    else {
      this.#snapshot = snapshot;
      this.#entries = [];
      this.#members = undefined;
    }
    return this.commit(snapshot.index);
  }
}
