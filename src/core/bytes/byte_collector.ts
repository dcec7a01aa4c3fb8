/** Collects bytes that arrive in parts. */

/** Room for the next parts at most, in bytes. */
const MAX_ROOM_BYTES = 65_536;

/**
 * Copies parts into few blocks. A part kept as it is costs a hundred bytes and
 * more, however small, and keeps all bytes that were read with it.
 *
 * @example
 * ```ts
 * const collector = new ByteCollector().add(Buffer.from("a"));
 * collector.add(Buffer.from("b")).take().toString(); // "ab"
 * ```
 */
export class ByteCollector {
  readonly #blocks: Buffer[] = [];
  #length = 0;
  /** Unused bytes of the last block. */
  #room = 0;

  /** Gets the number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** Adds a copy of a part. */
  add(part: Uint8Array): this {
    let rest = part;
    while (rest.length > 0) {
      if (this.#room === 0) this.#addBlock(rest.length);
      rest = rest.subarray(this.#fill(rest));
    }
    return this;
  }

  /** Gets the bytes. */
  get bytes(): Buffer {
    const [first] = this.#blocks;
    if (this.#blocks.length === 1) return first.subarray(0, this.#length);
    return Buffer.concat(this.#blocks, this.#length);
  }

  /** Removes and gets the bytes. */
  take(): Buffer {
    const { bytes } = this;
    this.clear();
    return bytes;
  }

  /** Removes the bytes. */
  clear(): this {
    this.#blocks.length = 0;
    this.#length = 0;
    this.#room = 0;
    return this;
  }

  /** Adds a block for a part and, as the blocks before fill, for others. */
  #addBlock(partBytes: number): void {
    const bytes = Math.max(partBytes, Math.min(this.#length, MAX_ROOM_BYTES));
    this.#blocks.push(Buffer.allocUnsafe(bytes));
    this.#room = bytes;
  }

  /** @returns The number of bytes that the last block takes. */
  #fill(part: Uint8Array): number {
    const block = this.#blocks[this.#blocks.length - 1];
    const taken = Math.min(this.#room, part.length);
    block.set(part.subarray(0, taken), block.length - this.#room);
    this.#room -= taken;
    this.#length += taken;
    return taken;
  }
}
