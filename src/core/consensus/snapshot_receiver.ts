/** Collects the parts of a snapshot that a leader sends. */
import type { SnapshotPartRequest } from "./consensus_message.ts";

/** A snapshot whose parts have all arrived. */
export interface CompleteSnapshot {
  readonly snapshot: SnapshotPartRequest["snapshot"];
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
    const isOutdated = this.#transfer !== undefined &&
      isLaterTransfer(this.#transfer, message);
    if (isOutdated) return false;
    const isNew = this.#transfer === undefined ||
      isLaterTransfer(message, this.#transfer);
    if (isNew) {
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
 * Gets whether a message is of a later transfer than another one.
 *
 * @example
 * ```ts
 * if (isLaterTransfer(message, this.#transfer)) this.clear();
 * ```
 */
export function isLaterTransfer(
  { term, snapshot }: SnapshotPartRequest,
  other: SnapshotPartRequest,
): boolean {
  if (term !== other.term) return term > other.term;
  return snapshot.index > other.snapshot.index;
}
