/** Parser of event streams that bounds what it is given. */
import { createParser, type ParseError } from "eventsource-parser";
import { EventTail } from "../core/continuation/mod.ts";
import { EventMemory } from "./event_memory.ts";
import { ResponseBound } from "./response_bound.ts";
import { ResponseTooLargeError } from "./response_limits.ts";
import { UnreadableStreamError } from "./unreadable_stream_error.ts";

/**
 * Longest event of a stream, with the comments before it, in UTF-16 code units:
 * many thousands of comments by which a target that waits shows that it is alive.
 */
const MAX_EVENT_LENGTH = 1_048_576;
/** Memory of a field of an event that is not whole, beside its text. */
const FIELD_LENGTH = 64;
/** Error of the parser if an event exceeds its buffer. */
const BUFFER_EXCEEDED = "max-buffer-size-exceeded";
/**
 * Lines without a meaning that a stream may have beside those of its events. Each
 * one costs as much time as several events.
 */
const MAX_UNREADABLE_LINES = 1_000;
/** Lines without a meaning that each event may bring. */
const UNREADABLE_LINES_PER_EVENT = 4;
const RETURNS = /\r\n?/g;

/** Options of {@link EventParser}. */
export interface EventParserOptions {
  readonly onEvent: (event: { id?: string; data: string }) => void;
  /** Called with errors that end no stream, such as unknown fields. */
  readonly onError?: (err: ParseError) => void;
  /** Memory shared with other streams; by default, it is not shared. */
  readonly memory?: EventMemory;
}

/**
 * Reads an event stream as it arrives; closed at its end if its memory is shared.
 *
 * @example
 * ```ts
 * const parser = new EventParser({ onEvent: ({ data }) => use(data) });
 * parser.feed("data: a\n\n");
 * parser.close();
 * ```
 */
export class EventParser {
  readonly #options: EventParserOptions;
  readonly #memory: EventMemory;
  readonly #tail = new EventTail();
  readonly #parser = createParser({
    onEvent: (event) => this.#onEvent(event),
    onError: (err) => this.#onError(err),
    maxBufferSize: MAX_EVENT_LENGTH,
  });
  #unreadableLeft = MAX_UNREADABLE_LINES;
  #isAfterReturn = false;

  constructor(options: EventParserOptions) {
    this.#options = options;
    this.#memory = options.memory ??
      new EventMemory(MAX_EVENT_LENGTH * FIELD_LENGTH);
  }

  /**
   * Reads the next part of the stream.
   * @throws ResponseTooLargeError if no event ends within the bound, or if those
   * of all streams exceed theirs and this one its share, or
   * UnreadableStreamError if too many lines have no meaning.
   */
  feed(text: string): void {
    const lines = this.#withLineFeeds(text);
    this.#parser.feed(lines);
    const { length, fieldCount } = this.#tail.push(lines);
    if (length > MAX_EVENT_LENGTH) {
      throw new ResponseTooLargeError(ResponseBound.Event, MAX_EVENT_LENGTH);
    }
    const heldLength = fieldCount === 0
      ? 0
      : length + fieldCount * FIELD_LENGTH;
    if (this.#memory.set(this, heldLength)) return;
    const { maxLength } = this.#memory;
    throw new ResponseTooLargeError(ResponseBound.Events, maxLength);
  }

  /** Releases the memory of an event that is not whole. */
  close(): void {
    this.#memory.release(this);
  }

  /** Gets whether an event has begun that is not whole; comments are none. */
  get isInEvent(): boolean {
    return this.#tail.isInEvent;
  }

  /** Replaces returns, for each of which the parser searches the whole text. */
  #withLineFeeds(text: string): string {
    const isSecondHalf = this.#isAfterReturn && text.startsWith("\n");
    if (text !== "") this.#isAfterReturn = text.endsWith("\r");
    const lines = isSecondHalf ? text.slice(1) : text;
    return lines.includes("\r") ? lines.replace(RETURNS, "\n") : lines;
  }

  #onEvent(event: { id?: string; data: string }): void {
    this.#unreadableLeft = Math.min(
      MAX_UNREADABLE_LINES,
      this.#unreadableLeft + UNREADABLE_LINES_PER_EVENT,
    );
    this.#options.onEvent(event);
  }

  #onError(err: ParseError): void {
    if (err.type === BUFFER_EXCEEDED) {
      throw new ResponseTooLargeError(ResponseBound.Event, MAX_EVENT_LENGTH);
    }
    this.#unreadableLeft -= 1;
    if (this.#unreadableLeft < 0) {
      throw new UnreadableStreamError(MAX_UNREADABLE_LINES);
    }
    this.#options.onError?.(err);
  }
}
