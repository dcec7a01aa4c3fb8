/** The bytes of a body that have arrived. */

const EMPTY = Buffer.alloc(0);
const MIN_GROWTH_BYTES = 1_024;
/** Part of the declared size from which on memory for all of it is taken. */
const TRUSTED_SHARE = 0.25;

/**
 * Collects the parts of a body in one buffer: a sender chooses the size of its
 * parts, each of which takes more memory than a few bytes.
 *
 * @example
 * ```ts
 * const body = new ReceivedBody(2);
 * body.add(Buffer.from("a")).add(Buffer.from("b"));
 * body.take(); // <Buffer 61 62>
 * ```
 */
export class ReceivedBody {
  readonly #declaredSize: number;
  #buffer: Buffer = EMPTY;
  #size = 0;

  /** @param declaredSize - Size that the sender names, in bytes; 0 without. */
  constructor(declaredSize: number) {
    this.#declaredSize = declaredSize;
  }

  /** Gets the number of bytes that have arrived. */
  get size(): number {
    return this.#size;
  }

  /** Adds a part. */
  add(part: Buffer): this {
    const size = this.#size + part.length;
    if (this.#size === 0) this.#buffer = part;
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
    const isTrusted = size <= this.#declaredSize &&
      size >= this.#declaredSize * TRUSTED_SHARE;
    const wanted = isTrusted
      ? this.#declaredSize
      : size + Math.max(size, MIN_GROWTH_BYTES);
    const grown = Buffer.allocUnsafeSlow(wanted);
    grown.set(this.#buffer.subarray(0, this.#size));
    this.#buffer = grown;
  }
}
