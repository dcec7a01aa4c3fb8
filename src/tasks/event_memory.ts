/** Memory of the events that several streams have begun. */

/**
 * Bounds what the events that are not whole take in all streams together.
 *
 * @example
 * ```ts
 * const memory = new EventMemory(1_048_576);
 * memory.set(stream, 2_000_000); // false
 * memory.release(stream);
 * ```
 */
export class EventMemory {
  readonly maxLength: number;
  readonly #lengths = new Map<object, number>();
  #total = 0;

  /** @param maxLength - Bound of all streams together, in UTF-16 code units. */
  constructor(maxLength: number) {
    this.maxLength = maxLength;
  }

  /**
   * Sets what the event of a stream takes, in UTF-16 code units.
   * @returns False if all together exceed the bound, and this one its share.
   */
  set(stream: object, length: number): boolean {
    this.release(stream);
    if (length === 0) return true;
    this.#lengths.set(stream, length);
    this.#total += length;
    return this.#total <= this.maxLength ||
      length * this.#lengths.size < this.#total;
  }

  /** Releases what the event of a stream takes. */
  release(stream: object): void {
    this.#total -= this.#lengths.get(stream) ?? 0;
    this.#lengths.delete(stream);
  }
}
