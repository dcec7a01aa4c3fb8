/** Bounds of the memory that responses of targets may take. */
import { ByteCollector } from "../core/bytes/mod.ts";
import { NutmegreelError } from "../core/errors/mod.ts";
import { ResponseBound } from "./response_bound.ts";

/** Thrown for a response that exceeds a bound; it may have no end. */
export class ResponseTooLargeError extends NutmegreelError {
  readonly bound: ResponseBound;

  /** @param limit - The bound, in bytes or UTF-16 code units. */
  constructor(bound: ResponseBound, limit: number) {
    super(
      "responseTooLarge",
      `Response is too large (${bound}): over ${limit}`,
    );
    this.bound = bound;
  }
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
    const collector = new ByteCollector();
    try {
      for await (const chunk of body) {
        collector.add(chunk);
        this.#heldBytes += chunk.length;
        if (this.#heldBytes > this.#maxBytes) {
          throw new ResponseTooLargeError(ResponseBound.Bodies, this.#maxBytes);
        }
      }
      return collector.bytes;
    } finally {
      this.#heldBytes -= collector.length;
    }
  }
}
