/** Bounds of the memory that responses of targets may take. */
import { createParser, type ParseError } from "eventsource-parser";
import { EventTail } from "../core/continuation/mod.ts";
import { NutmegreelError } from "../core/errors/mod.ts";

/**
 * Longest event of a stream, with the comments before it, in UTF-16 code units:
 * many thousands of comments by which a target that waits shows that it is alive.
 */
const MAX_EVENT_LENGTH = 1_048_576;
/** Error of the parser if an event exceeds its buffer. */
const BUFFER_EXCEEDED = "max-buffer-size-exceeded";

/** Thrown for a response that exceeds a bound; it may have no end. */
export class ResponseTooLargeError extends NutmegreelError {
  /** @param limit - The bound, in bytes or UTF-16 code units. */
  constructor(limit: number) {
    super("responseTooLarge", `Response is too large: over ${limit}`);
  }
}

/** Options of {@link createEventParser}. */
export interface EventParserOptions {
  readonly onEvent: (event: { id?: string; data: string }) => void;
  /** Called with errors that end no stream, such as unknown fields. */
  readonly onError?: (err: ParseError) => void;
}

/** Reads an event stream as it arrives. */
export interface EventParser {
  /**
   * Reads the next part of the stream.
   * @throws ResponseTooLargeError if no event ends within the bound.
   */
  feed(text: string): void;
  /** Whether an event has begun that is not whole. */
  readonly isInEvent: boolean;
}

/**
 * Creates a parser of event streams that bounds what comes without the end of an
 * event: its own buffer holds neither whole lines nor comments.
 *
 * @example
 * ```ts
 * const parser = createEventParser({ onEvent: ({ data }) => use(data) });
 * parser.feed("data: a\n\n");
 * ```
 */
export function createEventParser(
  { onEvent, onError }: EventParserOptions,
): EventParser {
  const tail = new EventTail();
  const parser = createParser({
    onEvent,
    maxBufferSize: MAX_EVENT_LENGTH,
    onError: (err) => {
      if (err.type === BUFFER_EXCEEDED) {
        throw new ResponseTooLargeError(MAX_EVENT_LENGTH);
      }
      onError?.(err);
    },
  });
  return {
    feed: (text) => {
      parser.feed(text);
      if (tail.push(text).length <= MAX_EVENT_LENGTH) return;
      throw new ResponseTooLargeError(MAX_EVENT_LENGTH);
    },
    get isInEvent() {
      return tail.isInEvent;
    },
  };
}

/**
 * Reads bodies completely, within a bound for all that are being read.
 *
 * @example
 * ```ts
 * const reader = new BodyReader(1_048_576);
 * const bytes = await reader.read(response.body);
 * ```
 */
export class BodyReader {
  readonly #maxBytes: number;
  #heldBytes = 0;

  /** @param maxBytes - Bound of all bodies together, in bytes. */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /**
   * Reads a body to its end.
   * @throws ResponseTooLargeError if the bound is exceeded.
   */
  async read(body: AsyncIterable<Uint8Array>): Promise<Uint8Array> {
    const chunks: Uint8Array[] = [];
    let size = 0;
    try {
      for await (const chunk of body) {
        size += chunk.length;
        this.#heldBytes += chunk.length;
        if (this.#heldBytes > this.#maxBytes) {
          throw new ResponseTooLargeError(this.#maxBytes);
        }
        chunks.push(chunk);
      }
      return Buffer.concat(chunks);
    } finally {
      this.#heldBytes -= size;
    }
  }
}
