/** Messages to a replica that have not been answered. */

/** A message on its way, by the positions that it carries. */
export interface SentMessage {
  /** First position of the message. */
  readonly first: number;
  /** Last position of the message. */
  readonly last: number;
  /** Send time, in milliseconds of the local clock. */
  readonly sentAt: number;
}

/** Default number of unanswered messages to a replica at the same time. */
const MAX_MESSAGES = 8;

/**
 * Tracks the unanswered messages to one replica, in the order in which they
 * were sent.
 *
 * @example
 * ```ts
 * window.add({ first: 5, last: 9, sentAt: now });
 * window.acknowledge(9).isEmpty; // true
 * ```
 */
export class SendWindow {
  readonly #maxMessages: number;
  #messages: SentMessage[] = [];

  /** @param maxMessages - Number of unanswered messages at the same time. */
  constructor(maxMessages = MAX_MESSAGES) {
    this.#maxMessages = maxMessages;
  }

  /** Gets whether all messages have been answered. */
  get isEmpty(): boolean {
    return this.#messages.length === 0;
  }

  /** Gets whether no further message may be sent. */
  get isFull(): boolean {
    return this.#messages.length >= this.#maxMessages;
  }

  /** Gets the send time of the oldest message; Infinity if there is none. */
  get oldestAt(): number {
    return this.#messages[0]?.sentAt ?? Infinity;
  }

  /** Adds a message that has just been sent. */
  add(message: SentMessage): this {
    this.#messages.push(message);
    return this;
  }

  /** Removes the messages whose positions the replica holds. */
  acknowledge(last: number): this {
    this.#messages = this.#messages.filter((message) => message.last > last);
    return this;
  }

  /** Finds the message that carries what follows a number of positions. */
  findAt(position: number): SentMessage | undefined {
    return this.#messages
      .find(({ first, last }) => first <= position && position < last);
  }

  /** Removes a message. */
  remove(message: SentMessage): this {
    this.#messages = this.#messages.filter((other) => other !== message);
    return this;
  }

  /** Removes all messages. */
  clear(): this {
    this.#messages = [];
    return this;
  }

  /**
   * Removes all messages if the oldest is overdue.
   * @returns The first position to send again; undefined if none is overdue.
   */
  takeOverdue(sentBefore: number): number | undefined {
    const oldest = this.#messages[0];
    if (oldest === undefined || oldest.sentAt > sentBefore) return undefined;
    this.clear();
    return oldest.first;
  }
}
