/** What an event stream holds after its last whole event. */

/** Ends of a line and of the empty one after it, but for a last line feed. */
const EVENT_ENDS: readonly string[] = ["\n\n", "\n\r", "\r\r"];
const END_LENGTH = 2;
/** End of a line, and the first character of a field; comments are none. */
const FIELD_START = /[\r\n][^:\r\n]/g;

/**
 * Follows a stream whose events are read elsewhere, in constant memory.
 *
 * @example
 * ```ts
 * new EventTail().push("id: 1\ndata: a\n\nid: 2").isInEvent; // true
 * ```
 */
export class EventTail {
  #length = 0;
  #fieldCount = 0;
  /** Last character of the text, which may end a line. */
  #last = "\n";

  /** Adds the next part of the stream. */
  push(text: string): this {
    const joined = this.#last + text;
    const end = endOfLastEvent(joined);
    if (end < 0) {
      this.#length += text.length;
      this.#fieldCount += countFields(joined);
    } else {
      this.#length = joined.length - end;
      this.#fieldCount = countFields(joined.slice(end - 1));
    }
    this.#last = joined.slice(-1);
    return this;
  }

  /** Gets whether an event has begun that is not whole; comments are none. */
  get isInEvent(): boolean {
    return this.#fieldCount > 0;
  }

  /** Gets the number of fields since the last end of an event. */
  get fieldCount(): number {
    return this.#fieldCount;
  }

  /**
   * Gets the length since the last end of an event, in UTF-16 code units;
   * comments count.
   */
  get length(): number {
    return this.#length;
  }
}

function countFields(text: string): number {
  return text.match(FIELD_START)?.length ?? 0;
}

function endOfLastEvent(text: string): number {
  const start = Math.max(...EVENT_ENDS.map((end) => text.lastIndexOf(end)));
  return start < 0 ? -1 : start + END_LENGTH;
}
