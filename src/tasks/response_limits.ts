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

/** A body that arrives; it can be given up. */
export interface ReadableBody extends AsyncIterable<Uint8Array> {
  destroy?(err: Error): unknown;
}

/** A body that is being read. */
interface Reading {
  readonly target: string;
  readonly body: ReadableBody;
  readonly collector: ByteCollector;
  /** Why the body was given up. */
  failure: ResponseTooLargeError | undefined;
}

/**
 * Reads bodies completely, within a bound for all that are being read. Beyond it
 * the target that sent most of them loses its largest one, so that a faulty
 * target costs the others nothing.
 *
 * @example
 * ```ts
 * const reader = new BodyReader(1_048_576);
 * const bytes = await reader.read(response.body, "10.0.0.7:8648");
 * ```
 */
export class BodyReader {
  readonly #maxBytes: number;
  readonly #readings = new Set<Reading>();
  #heldBytes = 0;

  /** @param maxBytes - Bound of all bodies together, in bytes. */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Gets the number of bytes of all bodies that are being read. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * Reads a body to its end.
   * @param target - Who sends the body: an address or identifier.
   * @throws ResponseTooLargeError if the bound is exceeded, and this body is the
   * one to give up.
   */
  async read(body: ReadableBody, target: string): Promise<Uint8Array> {
    const collector = new ByteCollector();
    const reading: Reading = { target, body, collector, failure: undefined };
    this.#readings.add(reading);
    try {
      for await (const chunk of body) {
        this.#add(reading, chunk);
        throwIfGivenUp(reading);
      }
      throwIfGivenUp(reading);
      return collector.bytes;
    } finally {
      this.#remove(reading);
    }
  }

  #add(reading: Reading, chunk: Uint8Array): void {
    if (reading.failure !== undefined) return;
    reading.collector.add(chunk);
    this.#heldBytes += chunk.length;
    while (this.#heldBytes > this.#maxBytes) this.#giveUp(this.#findLargest());
  }

  /** Finds the largest body of the target whose bodies take the most. */
  #findLargest(): Reading {
    const bytesByTarget = new Map<string, number>();
    for (const { target, collector } of this.#readings) {
      const bytes = bytesByTarget.get(target) ?? 0;
      bytesByTarget.set(target, bytes + collector.length);
    }
    const bytesOf = ({ target }: Reading) => bytesByTarget.get(target) ?? 0;
    return [...this.#readings].reduce((largest, reading) => {
      const difference = bytesOf(reading) - bytesOf(largest) ||
        reading.collector.length - largest.collector.length;
      return difference > 0 ? reading : largest;
    });
  }

  #giveUp(reading: Reading): void {
    const err = new ResponseTooLargeError(ResponseBound.Bodies, this.#maxBytes);
    reading.failure = err;
    this.#remove(reading);
    reading.body.destroy?.(err);
  }

  #remove(reading: Reading): void {
    if (!this.#readings.delete(reading)) return;
    this.#heldBytes -= reading.collector.length;
    if (reading.failure !== undefined) reading.collector.clear();
  }
}

function throwIfGivenUp({ failure }: Reading): void {
  if (failure !== undefined) throw failure;
}
