/** Divides the bytes of an event stream into complete events. */
import { ByteCollector } from "../bytes/mod.ts";

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
  readonly #pending = new ByteCollector();
  readonly #line = new ByteCollector();
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
      this.#line.add(bytes.subarray(lineStart, i));
      lineStart = i + 1;
      if (!this.#endLine()) continue;
      frames.push(this.#endFrame(bytes.subarray(frameStart, i + 1)));
      frameStart = i + 1;
    }
    this.#line.add(bytes.subarray(lineStart));
    this.#addPending(bytes.subarray(frameStart));
    return frames;
  }

  /** Gets whether an event has begun that is not complete; comments are none. */
  get isInEvent(): boolean {
    return hasField(this.#pending.bytes);
  }

  /** Removes and gets the bytes after the last complete event. */
  takeRemainder(): Uint8Array {
    const rest = this.#pending.take();
    this.#id = undefined;
    this.#line.clear();
    this.#isAfterReturn = false;
    return rest;
  }

  /** Reads a line; an empty one ends the event. */
  #endLine(): boolean {
    if (this.#line.length === 0) return true;
    const id = ID_LINE.exec(this.#line.take().toString());
    if (id !== null) this.#id = Number(id[1]);
    return false;
  }

  #endFrame(bytes: Buffer): EventFrame {
    const frame = { bytes: this.#pending.add(bytes).take(), id: this.#id };
    this.#id = undefined;
    return frame;
  }

  #addPending(bytes: Buffer): void {
    this.#pending.add(bytes);
    if (this.#pending.length > MAX_EVENT_BYTES) throw new EventTooLargeError();
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
