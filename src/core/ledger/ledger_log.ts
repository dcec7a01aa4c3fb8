/** In-memory log of a ledger replica. */
import { estimateBytes } from "../consensus/mod.ts";
import type { LedgerRecord } from "./ledger_record.ts";

/** A record with its position in the log. */
export interface LedgerEntry {
  /** Index in the log, from 1. */
  readonly index: number;
  /** View in which the primary appended the record. */
  readonly view: number;
  readonly record: LedgerRecord;
}

/** Index and view of an entry. */
export interface LedgerPosition {
  /** Index in the log; 0 before the first entry. */
  readonly index: number;
  /** View in which the entry was appended. */
  readonly view: number;
}

/** Limits of the entries that a log retains. */
export interface RetentionLimits {
  readonly maxEntries: number;
  /** Maximum size of the records, in bytes. */
  readonly maxBytes: number;
}

/** Holds the entries after a base position. */
export class LedgerLog {
  #base: LedgerPosition;
  #entries: LedgerEntry[] = [];
  /** Sizes of the records, in bytes. */
  #sizes: number[] = [];

  /** Creates a log from a stored base position and entries. */
  constructor(base: LedgerPosition, entries: readonly LedgerEntry[] = []) {
    this.#base = base;
    this.append(entries.filter((entry) => entry.index > base.index));
  }

  /** Gets the index and view of the last entry. */
  get last(): LedgerPosition {
    return this.#entries.at(-1) ?? this.#base;
  }

  /** Gets the index and view of the entry before the first held one. */
  get base(): LedgerPosition {
    return this.#base;
  }

  /** Gets the number of held entries. */
  get size(): number {
    return this.#entries.length;
  }

  /** Gets the view of an entry, or undefined if the entry is not held. */
  viewAt(index: number): number | undefined {
    if (index === this.#base.index) return this.#base.view;
    return this.#entries[index - this.#base.index - 1]?.view;
  }

  /** Gets an entry, or undefined if it is not held. */
  entryAt(index: number): LedgerEntry | undefined {
    return this.#entries[index - this.#base.index - 1];
  }

  /** Gets the entries after an index. */
  after(index: number): LedgerEntry[] {
    return this.#entries.slice(Math.max(0, index - this.#base.index));
  }

  /** Appends entries. */
  append(entries: readonly LedgerEntry[]): this {
    for (const entry of entries) {
      this.#entries.push(entry);
      this.#sizes.push(estimateBytes(entry.record));
    }
    return this;
  }

  /** Removes the entries after an index. */
  truncateAfter(index: number): this {
    const count = Math.max(0, index - this.#base.index);
    this.#entries = this.#entries.slice(0, count);
    this.#sizes = this.#sizes.slice(0, count);
    return this;
  }

  /**
   * Drops the entries up to an index, which becomes the base. Ignored if the
   * index is not held.
   */
  dropUpTo(index: number): this {
    const view = this.viewAt(index);
    if (view === undefined) return this;
    this.#sizes = this.#sizes.slice(index - this.#base.index);
    this.#entries = this.after(index);
    this.#base = { index, view };
    return this;
  }

  /** Gets the last index up to which entries exceed limits. */
  excessIndex({ maxEntries, maxBytes }: RetentionLimits): number {
    let start = this.#entries.length;
    let bytes = 0;
    while (start > 0 && this.#entries.length - start < maxEntries) {
      bytes += this.#sizes[start - 1];
      if (bytes > maxBytes) break;
      start -= 1;
    }
    return this.#base.index + start;
  }

  /** Drops all entries and sets a new base. */
  reset(base: LedgerPosition): this {
    this.#base = base;
    this.#entries = [];
    this.#sizes = [];
    return this;
  }
}
