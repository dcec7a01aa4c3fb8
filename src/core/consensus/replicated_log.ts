/** In-memory part of a replicated log. */
import { assertInvariant, Invariant } from "../invariants/mod.ts";
import { sumOf } from "../statistics/mod.ts";
import { estimateBytes } from "./estimate_bytes.ts";
import type { LogEntry, LogSnapshot } from "./log_entry.ts";
import type { Members } from "./members.ts";

/** Index and term of a log entry. */
export interface LogPosition {
  /** Index in the log, from 1; 0 before the first entry. */
  readonly index: number;
  /** Term of the leader that appended the entry. */
  readonly term: number;
}

/** Limits of {@link ReplicatedLog.batchFrom}. */
export interface BatchLimits {
  readonly maxEntries: number;
  /** Maximum size of the commands; a single larger one is taken alone. */
  readonly maxBytes: number;
}

/** Entries that follow each other. */
export interface EntryBatch<C> {
  readonly entries: readonly LogEntry<C>[];
  /** Whether more entries follow, which a limit has left out. */
  readonly isFull: boolean;
  /** Size of the entries, in bytes. */
  readonly bytes: number;
}

/** Options of {@link ReplicatedLog}. */
export interface ReplicatedLogOptions<C> {
  /** Estimates the size of a command in bytes; by default, of any value. */
  readonly sizeOf?: (command: C) => number;
  /** Gets the form in which a command is held; by default, as it is. */
  readonly hold?: (command: C) => C;
}

/** Entries that stay although a snapshot replaces them. */
export interface KeptEntries {
  /** Index of the last entry that is not needed. */
  readonly after: number;
  /** Size of all entries above which none is kept, in bytes. */
  readonly maxBytes: number;
}

/** Size of an entry without its command, in bytes. */
const ENTRY_OVERHEAD_BYTES = 64;

/**
 * Holds the latest snapshot, the entries after it, and those before its end that
 * members of a leader still need.
 */
export class ReplicatedLog<C, S> {
  readonly #sizeOf: (command: C) => number;
  readonly #hold: ((command: C) => C) | undefined;
  #snapshot: LogSnapshot<S>;
  /** Position before the first held entry. */
  #base: LogPosition;
  #entries: LogEntry<C>[] = [];
  /** Sizes of the entries, in bytes. */
  #sizes: number[] = [];
  /** Size of the entries after the snapshot, in bytes. */
  #bytes = 0;
  /** Size of the entries that the snapshot replaces, in bytes. */
  #keptBytes = 0;
  #maxHeldBytes = Infinity;
  #committed: number;
  /** Cached members as of the last entry; undefined if the cache is stale. */
  #members: Members | undefined;

  /** Creates a log from a stored snapshot and entries. */
  constructor(
    snapshot: LogSnapshot<S>,
    entries: readonly LogEntry<C>[],
    { sizeOf = estimateBytes, hold }: ReplicatedLogOptions<C> = {},
  ) {
    this.#sizeOf = sizeOf;
    this.#hold = hold;
    this.#snapshot = snapshot;
    this.#base = toPosition(snapshot);
    this.#committed = snapshot.index;
    this.append(entries.filter((entry) => entry.index > snapshot.index));
  }

  /** Gets the latest snapshot. */
  get snapshot(): LogSnapshot<S> {
    return this.#snapshot;
  }

  /** Gets the index and term of the last entry. */
  get last(): LogPosition {
    return this.#entries.at(-1) ?? this.#snapshot;
  }

  /** Gets the highest committed index. */
  get committed(): number {
    return this.#committed;
  }

  /** Gets the number of entries held after the snapshot. */
  get size(): number {
    return this.last.index - this.#snapshot.index;
  }

  /** Gets the size of the entries held after the snapshot, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Gets the size of the entries that the snapshot replaces, in bytes. */
  get keptBytes(): number {
    return this.#keptBytes;
  }

  /** Gets the term of an entry, or undefined if the entry is not held. */
  termAt(index: number): number | undefined {
    if (index === this.#snapshot.index) return this.#snapshot.term;
    if (index === this.#base.index) return this.#base.term;
    return this.entryAt(index)?.term;
  }

  /** Gets whether all entries after an index are held. */
  holdsAfter(index: number): boolean {
    return this.termAt(index) !== undefined;
  }

  /**
   * Gets the index before the first uncommitted entry of the term at an index.
   *
   * On a conflict, this lets the leader skip a whole term in one round trip.
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

  /** Gets an entry, or undefined if it is not held. */
  entryAt(index: number): LogEntry<C> | undefined {
    return this.#entries[index - this.#base.index - 1];
  }

  /** Gets up to `max` entries, starting at an index. */
  entriesFrom(index: number, max: number): LogEntry<C>[] {
    const start = index - this.#base.index - 1;
    return this.#entries.slice(start, start + max);
  }

  /** Gets entries from an index on, limited in number and size. */
  batchFrom(
    index: number,
    { maxEntries, maxBytes }: BatchLimits,
  ): EntryBatch<C> {
    const start = index - this.#base.index - 1;
    let end = start;
    let bytes = 0;
    while (end < this.#entries.length && end < start + maxEntries) {
      if (bytes + this.#sizes[end] > maxBytes && end > start) break;
      bytes += this.#sizes[end];
      end += 1;
    }
    return {
      entries: this.#entries.slice(start, end),
      isFull: end < this.#entries.length,
      bytes,
    };
  }

  /** Gets the members as of the last entry, committed or not. */
  get members(): Members {
    this.#members ??= this.membersAt(this.last.index);
    return this.#members;
  }

  /** Gets whether a membership change is not yet committed. */
  get hasPendingMembersChange(): boolean {
    return this.#entries.some((entry) =>
      entry.index > this.#committed && entry.content.type === "members"
    );
  }

  /** Gets the members as of a held index. */
  membersAt(index: number): Members {
    for (let i = index; i > this.#snapshot.index; i -= 1) {
      const content = this.entryAt(i)?.content;
      if (content?.type === "members") return content.members;
    }
    return this.#snapshot.members;
  }

  /** Gets whether a candidate's log is at least as up to date as this one. */
  isUpToDate(other: LogPosition): boolean {
    const { last } = this;
    if (other.term !== last.term) return other.term > last.term;
    return other.index >= last.index;
  }

  /** Appends entries. */
  append(entries: readonly LogEntry<C>[]): this {
    for (const added of entries) {
      const entry = this.#toHeld(added);
      const bytes = this.#sizeOfEntry(entry);
      this.#entries.push(entry);
      this.#sizes.push(bytes);
      this.#bytes += bytes;
    }
    if (entries.some((e) => e.content.type === "members")) {
      this.#members = undefined;
    }
    return this.#limitKept();
  }

  /**
   * Removes the entries from an index on.
   *
   * @throws InvariantError if the entry at the index is committed.
   */
  truncateFrom(index: number): this {
    assertInvariant(
      index > this.#committed,
      Invariant.CommittedStays,
      `Cannot remove entry ${index}: committed up to ${this.#committed}`,
    );
    this.#slice(this.#base.index, index - 1);
    this.#members = undefined;
    return this;
  }

  /** Advances the commit index. */
  commit(index: number): this {
    this.#committed = Math.max(this.#committed, index);
    return this;
  }

  /**
   * Replaces the entries up to a committed index with a snapshot.
   * @param kept - Entries that stay nevertheless; by default, none.
   */
  compact(snapshot: LogSnapshot<S>, kept?: KeptEntries): this {
    const after = Math.min(snapshot.index, kept?.after ?? snapshot.index);
    const { index: last } = this.last;
    this.#snapshot = snapshot;
    this.#maxHeldBytes = kept?.maxBytes ?? Infinity;
    this.#slice(after, last);
    return this.#limitKept();
  }

  /**
   * Removes entries that the snapshot replaces.
   * @param index - Last of them to be removed; by default, all are.
   */
  keepAfter(index = Infinity): this {
    if (this.#keptBytes === 0 || index <= this.#base.index) return this;
    this.#slice(Math.min(index, this.#snapshot.index), this.last.index);
    return this;
  }

  /**
   * Replaces the log with a snapshot from the leader.
   *
   * @throws InvariantError if the snapshot precedes the commit index.
   */
  restore(snapshot: LogSnapshot<S>): this {
    assertInvariant(
      snapshot.index >= this.#committed,
      Invariant.CommittedStays,
      `Snapshot ${snapshot.index} precedes commit index ${this.#committed}`,
    );
    const hasSnapshotEntry = this.termAt(snapshot.index) === snapshot.term;
    if (hasSnapshotEntry) this.compact(snapshot);
    else {
      this.#snapshot = snapshot;
      this.#base = toPosition(snapshot);
      this.#slice(snapshot.index, snapshot.index);
      this.#members = undefined;
    }
    return this.commit(snapshot.index);
  }

  /** Removes the entries that the snapshot replaces if all take too much. */
  #limitKept(): this {
    const isTooLarge = this.#keptBytes + this.#bytes > this.#maxHeldBytes;
    return isTooLarge ? this.keepAfter() : this;
  }

  /** Removes all entries but those after one index and up to another. */
  #slice(after: number, upTo: number): void {
    const start = Math.max(0, after - this.#base.index);
    const end = Math.max(start, upTo - this.#base.index);
    const index = Math.max(after, this.#base.index);
    this.#base = { index, term: this.termAt(index) ?? 0 };
    this.#entries = this.#entries.slice(start, end);
    this.#sizes = this.#sizes.slice(start, end);
    const keptCount = this.#snapshot.index - this.#base.index;
    this.#keptBytes = sumOf(this.#sizes.slice(0, keptCount), (b) => b);
    this.#bytes = sumOf(this.#sizes.slice(keptCount), (b) => b);
  }

  #toHeld(entry: LogEntry<C>): LogEntry<C> {
    const { content } = entry;
    if (content.type !== "command" || this.#hold === undefined) return entry;
    const command = this.#hold(content.command);
    return { ...entry, content: { ...content, command } };
  }

  #sizeOfEntry({ content }: LogEntry<C>): number {
    if (content.type !== "command") return ENTRY_OVERHEAD_BYTES;
    return ENTRY_OVERHEAD_BYTES + this.#sizeOf(content.command);
  }
}

function toPosition({ index, term }: LogPosition): LogPosition {
  return { index, term };
}
