/** Progress of sending a snapshot to one replica. */
import { estimateBytes } from "./estimate_bytes.ts";
import type { SnapshotHead } from "./log_entry.ts";
import { sumOf } from "../statistics/mod.ts";
import { SendWindow, type SentMessage } from "./send_window.ts";

/**
 * Time by which a message may overtake an earlier one on another connection, in
 * milliseconds.
 */
const MAX_REORDER_MS = 50;
/** Unanswered messages, which travel on several connections. */
const MAX_MESSAGES = 16;

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
  readonly #window = new SendWindow(MAX_MESSAGES);
  #next = 0;
  /** Number of parts that the replica holds without a gap. */
  #received = 0;
  /** Send time of the latest message that was answered. */
  #answeredAt = -Infinity;
  /** Message that is sent before others, as it was lost. */
  #repeated: SentMessage | undefined;

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
    const repeated = this.#repeated;
    this.#repeated = undefined;
    if (repeated !== undefined) {
      return this.#send(repeated.first, repeated.last, now);
    }
    const { parts, maxBytes } = this.#options;
    const first = this.#next;
    if (this.#window.isFull || first >= parts.length) return undefined;
    let end = first + 1;
    let bytes = estimateBytes(parts[first]);
    while (end < parts.length) {
      bytes += estimateBytes(parts[end]);
      if (bytes > maxBytes) break;
      end += 1;
    }
    this.#next = end;
    return this.#send(first, end, now);
  }

  /**
   * Gets an empty range after all parts that were sent; undefined if all are
   * answered.
   */
  getQuestion(): PartRange | undefined {
    if (this.#window.isEmpty) return undefined;
    return { first: this.#next, parts: [] };
  }

  #send(first: number, end: number, now: number): SizedPartRange {
    const parts = this.#options.parts.slice(first, end);
    const bytes = sumOf(parts, estimateBytes);
    this.#window.add({ first, last: end, sentAt: now });
    return { first, parts, bytes };
  }

  /** Sends parts again whose messages were sent before a time. */
  resendBefore(time: number): this {
    const next = this.#window.takeOverdue(time);
    if (next === undefined) return this;
    this.#next = next;
    this.#repeated = undefined;
    return this;
  }

  /**
   * Records that the replica holds the first parts. The message with those that
   * follow is sent again if the replica has answered a much later one, and all
   * of them if it holds less than before.
   * @param sentAt - Send time of the answered message.
   */
  onReply(received: number, sentAt: number): this {
    if (received < this.#received) {
      if (sentAt > this.#answeredAt) this.#restartAt(received);
      return this;
    }
    this.#received = received;
    this.#answeredAt = Math.max(this.#answeredAt, sentAt);
    this.#window.acknowledge(received);
    this.#next = Math.max(this.#next, received);
    const missing = this.#window.findAt(received);
    if (missing === undefined) return this;
    if (sentAt - missing.sentAt < MAX_REORDER_MS) return this;
    this.#window.remove(missing);
    this.#repeated = missing;
    return this;
  }

  /** Sends the parts from a position on, as the replica has lost its own. */
  #restartAt(received: number): void {
    this.#window.clear();
    this.#repeated = undefined;
    this.#received = received;
    this.#next = received;
  }
}
