/** The records that a ledger replica holds after its state. */
import type { LedgerRecord } from "./ledger_record.ts";

/** A record with its place in the order. */
export interface LedgerEntry {
  /** Position, from 1. */
  readonly index: number;
  /** View whose primary ordered it. */
  readonly view: number;
  /** Record. */
  readonly record: LedgerRecord;
}

/** Position and view of an entry. */
export interface LedgerPosition {
  /** Position. */
  readonly index: number;
  /** View. */
  readonly view: number;
}

/** Holds the entries after a base position. */
export class LedgerLog {
  #base: LedgerPosition;
  #entries: LedgerEntry[] = [];

  /** Creates a log from what was stored. */
  constructor(base: LedgerPosition, entries: readonly LedgerEntry[] = []) {
    this.#base = base;
    this.#entries = entries.filter((entry) => entry.index > base.index);
  }

  /** Gets the position of the last entry. */
  get last(): LedgerPosition {
    return this.#entries.at(-1) ?? this.#base;
  }

  /** Gets the position before the first held entry. */
  get base(): LedgerPosition {
    return this.#base;
  }

  /** Gets the number of held entries. */
  get size(): number {
    return this.#entries.length;
  }

  /** Gets the view of an entry, or undefined where it is not held. */
  viewAt(index: number): number | undefined {
    if (index === this.#base.index) return this.#base.view;
    return this.#entries[index - this.#base.index - 1]?.view;
  }

  /** Gets an entry, or undefined where it is not held. */
  entryAt(index: number): LedgerEntry | undefined {
    return this.#entries[index - this.#base.index - 1];
  }

  /** Gets the entries after a position. */
  after(index: number): LedgerEntry[] {
    return this.#entries.slice(Math.max(0, index - this.#base.index));
  }

  /** Adds entries at the end. */
  append(entries: readonly LedgerEntry[]): this {
    this.#entries.push(...entries);
    return this;
  }

  /** Removes entries after a position. */
  truncateAfter(index: number): this {
    this.#entries.length = Math.max(0, index - this.#base.index);
    return this;
  }

  /** Drops entries up to a position. */
  dropUpTo(index: number): this {
    const view = this.viewAt(index);
    if (view === undefined) return this;
    this.#entries = this.after(index);
    this.#base = { index, view };
    return this;
  }

  /** Replaces everything by a position. */
  reset(base: LedgerPosition): this {
    this.#base = base;
    this.#entries = [];
    return this;
  }
}
