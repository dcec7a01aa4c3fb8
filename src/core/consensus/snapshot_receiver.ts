/** Collects the parts of a snapshot that a leader sends. */
import type { SnapshotPartRequest } from "./consensus_message.ts";

/** Holds the parts received so far of one snapshot of one leader. */
export class SnapshotReceiver {
  readonly #hold: (part: unknown) => unknown;
  #transfer = "";
  #parts: unknown[] = [];

  /** @param hold - Gets the form in which a part is held. */
  constructor(hold: (part: unknown) => unknown = (part) => part) {
    this.#hold = hold;
  }

  /** Gets the number of parts held, from the first on. */
  get received(): number {
    return this.#parts.length;
  }

  /**
   * Adds the parts of a message; those of another transfer are dropped.
   * @returns Whether they follow those held.
   */
  add(message: SnapshotPartRequest): boolean {
    const { from, term, snapshot, first, parts } = message;
    const transfer = `${from} ${term} ${snapshot.index}`;
    if (transfer !== this.#transfer) this.clear();
    this.#transfer = transfer;
    if (first > this.#parts.length) return false;
    const added = parts.slice(this.#parts.length - first);
    this.#parts.push(...added.map((part) => this.#hold(part)));
    return true;
  }

  /** Gets all parts, if a message's snapshot is complete. */
  getComplete({ total }: SnapshotPartRequest): readonly unknown[] | undefined {
    return this.#parts.length === total ? this.#parts : undefined;
  }

  /** Drops the parts. */
  clear(): void {
    this.#transfer = "";
    this.#parts = [];
  }
}
