/** Restores a log from the writes in its store. */
import type {
  ConsensusEffect,
  HardState,
  LogEntry,
  LogSnapshot,
  StoredLog,
} from "../../core/consensus/mod.ts";

/** A stored change of a log. */
export type LogWrite<C, S> = Pick<
  Extract<ConsensusEffect<C, S>, { type: "write" }>,
  "hardState" | "truncateFrom" | "entries" | "snapshot"
>;

/** Applies writes one after the other, without copies of the entries. */
export class LogReplay<C, S> {
  #hardState: HardState;
  #snapshot: LogSnapshot<S>;
  #entries: LogEntry<C>[];

  /** @param empty - The log before the first write. */
  constructor(empty: StoredLog<C, S>) {
    this.#hardState = empty.hardState;
    this.#snapshot = empty.snapshot;
    this.#entries = [...empty.entries];
  }

  /** Gets the log after the writes added so far. */
  get stored(): StoredLog<C, S> {
    return {
      hardState: this.#hardState,
      snapshot: this.#snapshot,
      entries: this.#entries,
    };
  }

  /** Applies a write; its entries replace those from their first index on. */
  add(
    { hardState, truncateFrom, entries = [], snapshot }: LogWrite<C, S>,
  ): this {
    this.#hardState = hardState ?? this.#hardState;
    const first = entries[0]?.index ?? Infinity;
    this.#truncateFrom(Math.min(truncateFrom ?? Infinity, first));
    for (const entry of entries) this.#entries.push(entry);
    if (snapshot !== undefined) this.#snapshot = snapshot;
    this.#removeCompacted();
    return this;
  }

  #truncateFrom(index: number): void {
    while ((this.#entries.at(-1)?.index ?? -1) >= index) this.#entries.pop();
  }

  #removeCompacted(): void {
    const { index } = this.#snapshot;
    if ((this.#entries[0]?.index ?? Infinity) > index) return;
    this.#entries = this.#entries.filter((entry) => entry.index > index);
  }
}
