/** The bytes of a body that have arrived. */

const EMPTY = Buffer.alloc(0);
const MIN_GROWTH_BYTES = 1_024;
/** Size from which on a body has memory for the largest one, in bytes. */
const MAX_GROWN_BYTES = 4_194_304;
/**
 * Size above which the allocator takes memory from the system for each buffer,
 * and gives it back at once. Pages that are not written to take none.
 */
const RETURNED_BYTES = 33_558_528;
/** Part of the declared size from which on memory for all of it is taken. */
const TRUSTED_SHARE = 0.25;

/** Options of {@link ReceivedBody}. */
export interface ReceivedBodyOptions {
  /** Size that the sender names, in bytes; 0 without. */
  readonly declaredSize: number;
  /** Largest size, in bytes; no bound by default. */
  readonly maxSize?: number;
  /** Whether memory for all of the declared size is taken with the first part. */
  readonly isReserved?: boolean;
  /** Called with the bytes of memory that are dropped as the body grows. */
  readonly onDropped?: (bytes: number) => void;
}

/**
 * Collects the parts of a body in one buffer: a sender chooses the size of its
 * parts, each of which takes more memory than a few bytes.
 *
 * @example
 * ```ts
 * const body = new ReceivedBody({ declaredSize: 2 });
 * body.add(Buffer.from("a")).add(Buffer.from("b"));
 * body.take(); // <Buffer 61 62>
 * ```
 */
export class ReceivedBody {
  readonly #options: ReceivedBodyOptions;
  #buffer: Buffer = EMPTY;
  #size = 0;

  constructor(options: ReceivedBodyOptions) {
    this.#options = options;
  }

  /** Gets the number of bytes that have arrived. */
  get size(): number {
    return this.#size;
  }

  /** Gets the number of bytes of memory that they take. */
  get takenSize(): number {
    return this.#buffer.length;
  }

  /** Adds a part. */
  add(part: Buffer): this {
    const size = this.#size + part.length;
    const { declaredSize, isReserved = false } = this.#options;
    const isReservedNow = isReserved && part.length < declaredSize;
    if (this.#size === 0 && !isReservedNow) this.#buffer = part;
    else {
      if (size > this.#buffer.length) this.#grow(size);
      this.#buffer.set(part, this.#size);
    }
    this.#size = size;
    return this;
  }

  /** Gets all bytes, and forgets them. */
  take(): Buffer {
    const bytes = this.#buffer.subarray(0, this.#size);
    this.#buffer = EMPTY;
    return bytes;
  }

  #grow(size: number): void {
    const { onDropped } = this.#options;
    const capacity = this.#findCapacity(size);
    const memory = Buffer.allocUnsafeSlow(
      capacity > MAX_GROWN_BYTES
        ? Math.max(capacity, RETURNED_BYTES)
        : capacity,
    );
    const grown = memory.subarray(0, capacity);
    grown.set(this.#buffer.subarray(0, this.#size));
    onDropped?.(this.#buffer.length);
    this.#buffer = grown;
  }

  #findCapacity(size: number): number {
    const { declaredSize, isReserved, maxSize = Infinity } = this.#options;
    const trustedFrom = isReserved ? 0 : declaredSize * TRUSTED_SHARE;
    if (size <= declaredSize && size >= trustedFrom) return declaredSize;
    const doubled = size + Math.max(size, MIN_GROWTH_BYTES);
    const wanted = doubled > MAX_GROWN_BYTES && maxSize < Infinity
      ? maxSize
      : doubled;
    return Math.max(size, Math.min(maxSize, wanted));
  }
}
