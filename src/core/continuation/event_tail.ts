/** What an event stream holds after its last whole event. */
import { hasField } from "./event_framer.ts";

/** Ends of a line and of the empty one after it, but for a last line feed. */
const EVENT_ENDS: readonly string[] = ["\n\n", "\n\r", "\r\r"];
const END_LENGTH = 2;

/**
 * Follows a stream whose events are read elsewhere.
 *
 * @example
 * ```ts
 * new EventTail().push("id: 1\ndata: a\n\nid: 2").isInEvent; // true
 * ```
 */
export class EventTail {
  /** Text since the last end of an event. */
  #parts: string[] = [];
  /** Last character of the text, which may begin the end of an event. */
  #last = "";

  /** Adds the next part of the stream. */
  push(text: string): this {
    const joined = this.#last + text;
    const end = endOfLastEvent(joined);
    if (end < 0) this.#parts.push(text);
    else this.#parts = [joined.slice(end)];
    this.#last = joined.slice(-1);
    return this;
  }

  /** Gets whether an event has begun that is not whole; comments are none. */
  get isInEvent(): boolean {
    return hasField(Buffer.from(this.#parts.join("")));
  }
}

function endOfLastEvent(text: string): number {
  const start = Math.max(...EVENT_ENDS.map((end) => text.lastIndexOf(end)));
  return start < 0 ? -1 : start + END_LENGTH;
}
