/** Bounds of the memory that responses of targets may take. */
import { setTimeout as sleep } from "node:timers/promises";
import { NutmegreelError } from "../core/errors/mod.ts";
import { asBuffer } from "../core/bytes/mod.ts";
import { ReceivedBody, type UnreadResponses } from "./bodies/mod.ts";
import { RECLAIMER } from "./memory/mod.ts";
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
  readonly received: ReceivedBody;
  /** Bytes for which there is room before they arrive. */
  readonly reservedBytes: number;
  /** Bytes that are counted. */
  countedBytes: number;
  /** Why the body was given up. */
  failure: ResponseTooLargeError | undefined;
}

/** Options of {@link BodyReader}. */
export interface BodyReaderOptions {
  /** Bound of all bodies together, in bytes. */
  readonly maxBytes: number;
  /** Responses that take room until their callers have read them. */
  readonly unread?: UnreadResponses | undefined;
}

/** Options of {@link BodyReader.read}. */
export interface ReadBodyOptions {
  /** Who sends the body: an address or identifier. */
  readonly target: string;
  /** Size that the sender names, in bytes; 0 without. */
  readonly declaredBytes?: number;
  /** Aborted when the body is no longer wanted. */
  readonly signal?: AbortSignal;
}

/** Size from which on a named size has room before the body is read. */
const MIN_RESERVED_BYTES = 262_144;
const ROOM_POLL_MS = 20;

/**
 * Reads bodies completely, within a bound for all that are being read. A body
 * that names its size waits for room; of others, beyond the bound, the target
 * that sent most of them loses its largest one, so that a faulty target costs the
 * others nothing.
 *
 * @example
 * ```ts
 * const reader = new BodyReader({ maxBytes: 1_048_576 });
 * const bytes = await reader.read(res.body, { target: "10.0.0.7:8648" });
 * ```
 */
export class BodyReader {
  readonly #options: BodyReaderOptions;
  readonly #readings = new Set<Reading>();
  #countedBytes = 0;

  constructor(options: BodyReaderOptions) {
    this.#options = options;
  }

  /** Gets the number of bytes of all bodies that are being read. */
  get heldBytes(): number {
    return this.#countedBytes;
  }

  /**
   * Reads a body to its end.
   * @throws ResponseTooLargeError if the bound is exceeded, and this body is the
   * one to give up.
   */
  async read(
    body: ReadableBody,
    { target, declaredBytes = 0, signal }: ReadBodyOptions,
  ): Promise<Uint8Array> {
    const { maxBytes } = this.#options;
    const isReserved = declaredBytes >= MIN_RESERVED_BYTES &&
      declaredBytes <= maxBytes;
    const reservedBytes = isReserved ? declaredBytes : 0;
    await this.#waitForRoom(reservedBytes, signal);
    const received = new ReceivedBody({
      declaredSize: declaredBytes,
      maxSize: maxBytes,
      isReserved,
      onDropped: (bytes) => RECLAIMER.addLongLived(bytes),
    });
    const reading: Reading = {
      target,
      body,
      received,
      reservedBytes,
      countedBytes: 0,
      failure: undefined,
    };
    this.#readings.add(reading);
    this.#count(reading);
    try {
      for await (const chunk of body) {
        this.#add(reading, chunk);
        throwIfGivenUp(reading);
      }
      throwIfGivenUp(reading);
      return received.take();
    } finally {
      this.#remove(reading);
    }
  }

  get #takenBytes(): number {
    return this.#countedBytes + (this.#options.unread?.heldBytes ?? 0);
  }

  /** Waits until a body of some size has room. */
  async #waitForRoom(bytes: number, signal?: AbortSignal): Promise<void> {
    const { maxBytes, unread } = this.#options;
    while (bytes > 0 && this.#takenBytes + bytes > maxBytes) {
      if (unread?.breakOffStalled()) continue;
      await sleep(ROOM_POLL_MS, undefined, { signal });
    }
  }

  #add(reading: Reading, chunk: Uint8Array): void {
    if (reading.failure !== undefined) return;
    RECLAIMER.addShortLived(chunk.length);
    // The first part is kept, and must not keep what was read with it.
    const isFirst = reading.received.size === 0;
    reading.received.add(isFirst ? Buffer.from(chunk) : asBuffer(chunk));
    this.#count(reading);
    const { maxBytes, unread } = this.#options;
    while (this.#takenBytes > maxBytes) {
      if (unread?.breakOffStalled()) continue;
      const largest = this.#findLargest();
      if (largest === undefined) return;
      this.#giveUp(largest);
    }
  }

  #count(reading: Reading): void {
    const { received, reservedBytes, countedBytes } = reading;
    const bytes = Math.max(received.size, reservedBytes);
    this.#countedBytes += bytes - countedBytes;
    reading.countedBytes = bytes;
  }

  /** Finds the largest body of the target whose bodies take the most. */
  #findLargest(): Reading | undefined {
    const bytesByTarget = new Map<string, number>();
    for (const { target, countedBytes } of this.#readings) {
      const bytes = bytesByTarget.get(target) ?? 0;
      bytesByTarget.set(target, bytes + countedBytes);
    }
    const bytesOf = ({ target }: Reading) => bytesByTarget.get(target) ?? 0;
    let largest: Reading | undefined;
    for (const reading of this.#readings) {
      const difference = largest === undefined
        ? 1
        : bytesOf(reading) - bytesOf(largest) ||
          reading.countedBytes - largest.countedBytes;
      if (difference > 0) largest = reading;
    }
    return largest;
  }

  #giveUp(reading: Reading): void {
    const { maxBytes } = this.#options;
    const err = new ResponseTooLargeError(ResponseBound.Bodies, maxBytes);
    reading.failure = err;
    this.#remove(reading);
    reading.body.destroy?.(err);
  }

  #remove(reading: Reading): void {
    if (!this.#readings.delete(reading)) return;
    this.#countedBytes -= reading.countedBytes;
    if (reading.failure === undefined) return;
    RECLAIMER.addLongLived(reading.received.takenSize);
    reading.received.take();
  }
}

function throwIfGivenUp({ failure }: Reading): void {
  if (failure !== undefined) throw failure;
}
