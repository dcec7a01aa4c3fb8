/** Progress of sending a snapshot to one replica. */
import { estimateBytes } from "./estimate_bytes.ts";
import type { LogSnapshot } from "./log_entry.ts";
import { SendWindow } from "./send_window.ts";

/** A snapshot without its state. */
export type SnapshotHead = Omit<LogSnapshot<unknown>, "state">;

/** Options of {@link SnapshotTransfer}. */
export interface SnapshotTransferOptions {
  readonly snapshot: SnapshotHead;
  readonly parts: readonly unknown[];
  /** Maximum size of the parts of one message; one part is always taken. */
  readonly maxBytes: number;
}

/** Parts that follow each other. */
export interface PartRange {
  /** Number of parts that precede them. */
  readonly first: number;
  readonly parts: readonly unknown[];
}

/** Parts that are to be sent. */
export interface SizedPartRange extends PartRange {
  /** Estimated size of the parts, in bytes. */
  readonly bytes: number;
}

/**
 * Decides which parts of a snapshot to send next.
 *
 * @example
 * ```ts
 * const range = transfer.take(now); // undefined until replies arrive
 * ```
 */
export class SnapshotTransfer {
  readonly #options: SnapshotTransferOptions;
  readonly #window = new SendWindow();
  #next = 0;

  constructor(options: SnapshotTransferOptions) {
    this.#options = options;
  }

  /** Gets the snapshot that is sent, which a later one may have replaced. */
  get snapshot(): SnapshotHead {
    return this.#options.snapshot;
  }

  /** Gets the number of parts. */
  get total(): number {
    return this.#options.parts.length;
  }

  /** Gets the parts of the next message; undefined if none may be sent now. */
  take(now: number): SizedPartRange | undefined {
    const { parts, maxBytes } = this.#options;
    const first = this.#next;
    if (this.#window.isFull || first >= parts.length) return undefined;
    let end = first + 1;
    let bytes = estimateBytes(parts[first]);
    while (end < parts.length) {
      const nextBytes = estimateBytes(parts[end]);
      if (bytes + nextBytes > maxBytes) break;
      bytes += nextBytes;
      end += 1;
    }
    this.#next = end;
    this.#window.add({ first, last: end, sentAt: now });
    return { first, parts: parts.slice(first, end), bytes };
  }

  /**
   * Gets an empty range after all parts that were sent; undefined if all are
   * answered.
   */
  getQuestion(): PartRange | undefined {
    if (this.#window.isEmpty) return undefined;
    return { first: this.#next, parts: [] };
  }

  /** Sends parts again whose messages were sent before a time. */
  resendBefore(time: number): this {
    this.#next = this.#window.takeOverdue(time) ?? this.#next;
    return this;
  }

  /** Records that the replica holds the first parts. */
  acknowledge(received: number): this {
    this.#window.acknowledge(received);
    this.#next = Math.max(this.#next, received);
    return this;
  }

  /**
   * Continues after the parts that the replica holds, as it has refused others.
   * @param sentAt - Send time of the refused message.
   */
  continueAfter(received: number, sentAt: number): this {
    if (sentAt < this.#window.oldestAt) return this;
    this.#window.clear();
    this.#next = received;
    return this;
  }
}
