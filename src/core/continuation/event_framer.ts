/** Divides the bytes of an event stream into complete events. */

/** Bytes of an event stream up to the end of an event. */
export interface EventFrame {
  readonly bytes: Uint8Array;
  /** Number of the event; undefined if it has none. */
  readonly id: number | undefined;
}

/** Longest event, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const ID_LINE = /^id: ?(\d+)$/;

/** A line that is neither empty nor a comment. */
const FIELD_LINE = /^[^:\r\n]/m;

/** Thrown for an event without an end. */
export class EventTooLargeError extends Error {
  constructor() {
    super(`Event is longer than ${MAX_EVENT_BYTES} bytes`);
    this.name = "EventTooLargeError";
  }
}

/**
 * Collects bytes until an event is complete. Bytes are never changed, so the
 * frames and the remainder add up to the stream.
 *
 * @example
 * ```ts
 * framer.push(Buffer.from("id: 1\ndata: a\n\nid: 2")); // one frame, with id 1
 * ```
 */
export class EventFramer {
  #pending: Buffer[] = [];
  #pendingBytes = 0;
  #line: Buffer[] = [];
  #lineBytes = 0;
  #id: number | undefined;
  #isAfterReturn = false;

  /**
   * Adds bytes, and gets the events that they complete.
   * @throws EventTooLargeError for an event without an end.
   */
  push(chunk: Uint8Array): EventFrame[] {
    const bytes = Buffer.from(chunk);
    const frames: EventFrame[] = [];
    let frameStart = 0;
    let lineStart = 0;
    for (let i = 0; i < bytes.length; i += 1) {
      const byte = bytes[i];
      const isReturn = byte === CARRIAGE_RETURN;
      const isFeed = byte === LINE_FEED;
      if (!isReturn && !isFeed) {
        this.#isAfterReturn = false;
        continue;
      }
      const isSecondHalf = isFeed && this.#isAfterReturn;
      this.#isAfterReturn = isReturn;
      if (isSecondHalf) {
        lineStart = i + 1;
        continue;
      }
      this.#addToLine(bytes.subarray(lineStart, i));
      lineStart = i + 1;
      if (!this.#endLine()) continue;
      frames.push(this.#endFrame(bytes.subarray(frameStart, i + 1)));
      frameStart = i + 1;
    }
    this.#addToLine(bytes.subarray(lineStart));
    this.#addPending(bytes.subarray(frameStart));
    return frames;
  }

  /** Gets whether an event has begun that is not complete; comments are none. */
  get isInEvent(): boolean {
    return hasField(Buffer.concat(this.#pending));
  }

  /** Removes and gets the bytes after the last complete event. */
  takeRemainder(): Uint8Array {
    const rest = Buffer.concat(this.#pending);
    this.#reset();
    this.#line = [];
    this.#lineBytes = 0;
    this.#isAfterReturn = false;
    return rest;
  }

  #addToLine(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.#line.push(bytes);
    this.#lineBytes += bytes.length;
  }

  /** Reads a line; an empty one ends the event. */
  #endLine(): boolean {
    if (this.#lineBytes === 0) return true;
    const id = ID_LINE.exec(Buffer.concat(this.#line).toString());
    if (id !== null) this.#id = Number(id[1]);
    this.#line = [];
    this.#lineBytes = 0;
    return false;
  }

  #endFrame(bytes: Buffer): EventFrame {
    const frame = {
      bytes: Buffer.concat([...this.#pending, bytes]),
      id: this.#id,
    };
    this.#reset();
    return frame;
  }

  #addPending(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.#pending.push(bytes);
    this.#pendingBytes += bytes.length;
    if (this.#pendingBytes > MAX_EVENT_BYTES) throw new EventTooLargeError();
  }

  #reset(): void {
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#id = undefined;
  }
}

/**
 * Gets whether bytes of an event stream hold more than comments.
 *
 * @example
 * ```ts
 * hasField(Buffer.from(": ping\n\n")); // false
 * ```
 */
export function hasField(bytes: Uint8Array): boolean {
  return FIELD_LINE.test(Buffer.from(bytes).toString("latin1"));
}
