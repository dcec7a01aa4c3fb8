/** The body of a request, in a pool. */
import type { PooledBody } from "./body_pool.ts";
import { ReceivedBody, type ReceivedBodyOptions } from "./received_body.ts";

/** Options of {@link RequestBody}. */
export interface RequestBodyOptions extends ReceivedBodyOptions {
  /** Gets the monotonic time, in milliseconds. */
  readonly now: () => number;
}

/** Parts that a body of any size may come in. */
const MAX_FREE_PARTS = 4_096;
/** Bytes for each further part, on average. */
const MIN_PART_BYTES = 64;

/** Holds the body of one request until its response has ended. */
export class RequestBody implements PooledBody {
  refuse: (() => void) | undefined;
  readonly #options: RequestBodyOptions;
  readonly #received: ReceivedBody;
  #progressAt: number;
  #parts = 0;

  constructor(options: RequestBodyOptions) {
    this.#options = options;
    this.#received = new ReceivedBody(options);
    this.#progressAt = options.now();
  }

  /** Gets the bytes that have arrived. */
  get size(): number {
    return this.#received.size;
  }

  /** Gets the bytes of memory that are taken, or reserved for the body. */
  get takenSize(): number {
    const { isReserved, declaredSize } = this.#options;
    const reservedSize = isReserved ? declaredSize : 0;
    return Math.max(this.#received.takenSize, reservedSize);
  }

  /** Gets the bytes that have arrived or are to arrive. */
  get expectedSize(): number {
    return Math.max(this.size, this.#options.declaredSize);
  }

  /** Gets the time at which the last bytes came. */
  get progressAt(): number {
    return this.#progressAt;
  }

  /** Gets whether the body comes in more parts than its size explains. */
  get isFragmented(): boolean {
    return this.#parts > MAX_FREE_PARTS + this.size / MIN_PART_BYTES;
  }

  /** Adds a part. */
  add(part: Buffer): this {
    this.#received.add(part);
    this.#progressAt = this.#options.now();
    this.#parts += 1;
    return this;
  }

  /** Gets all bytes once they have arrived. */
  take(): Buffer {
    return this.#received.take();
  }

  /** Frees the bytes of a request that was refused. */
  end(): void {
    this.refuse = undefined;
    this.#received.take();
  }
}
