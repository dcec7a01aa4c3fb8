/** Collects the parts of a snapshot that a leader sends. */
import type { SnapshotPartRequest } from "./consensus_message.ts";
import type { SnapshotHead } from "./log_entry.ts";

/** A snapshot whose parts have all arrived. */
export interface CompleteSnapshot {
  readonly snapshot: SnapshotHead;
  readonly parts: readonly unknown[];
}

/** Holds the parts received so far of one snapshot of one leader. */
export class SnapshotReceiver {
  readonly #hold: (part: unknown) => unknown;
  #transfer: SnapshotPartRequest | undefined;
  /** Parts by position; those that have not arrived are missing. */
  #parts = new Map<number, unknown>();
  #received = 0;

  /** @param hold - Gets the form in which a part is held. */
  constructor(hold: (part: unknown) => unknown = (part) => part) {
    this.#hold = hold;
  }

  /** Gets the number of parts held without a gap, from the first on. */
  get received(): number {
    return this.#received;
  }

  /**
   * Adds the parts of a message, which may come in any order. A later transfer
   * replaces an earlier one, whose messages are refused from then on.
   * @returns Whether they follow those held without a gap.
   */
  add(message: SnapshotPartRequest): boolean {
    const order = compareTransfers(message, this.#transfer);
    if (order < 0) return false;
    if (order > 0) {
      this.clear();
      this.#transfer = message;
    }
    const { first, parts } = message;
    for (const [i, part] of parts.entries()) {
      const position = first + i;
      if (!this.#parts.has(position)) {
        this.#parts.set(position, this.#hold(part));
      }
    }
    while (this.#parts.has(this.#received)) this.#received += 1;
    return first <= this.#received;
  }

  /** Gets the snapshot and all its parts, once they have arrived. */
  getComplete(): CompleteSnapshot | undefined {
    if (this.#transfer?.total !== this.#received) return undefined;
    const { snapshot, total } = this.#transfer;
    const parts = Array.from({ length: total }, (_, i) => this.#parts.get(i));
    return { snapshot, parts };
  }

  /** Drops the parts. */
  clear(): void {
    this.#transfer = undefined;
    this.#parts = new Map();
    this.#received = 0;
  }
}

/**
 * Compares the transfer of a message with the one that is held, if there is one.
 * @returns Above 0 if the message begins another one, below 0 if it is of an
 *     earlier one, and 0 if it is of the same.
 * @example
 * ```ts
 * if (compareTransfers(message, this.#transfer) > 0) this.clear();
 * ```
 */
export function compareTransfers(
  { term, snapshot }: SnapshotPartRequest,
  held: SnapshotPartRequest | undefined,
): number {
  if (held === undefined) return 1;
  return term - held.term || snapshot.index - held.snapshot.index;
}
