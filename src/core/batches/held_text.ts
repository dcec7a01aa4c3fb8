/** Texts held as UTF-8 outside the heap of the JavaScript engine. */

/** Size up to which a text is held as a string, in bytes. */
const MAX_STRING_BYTES = 128;

/**
 * Holds a text outside the heap, which is far smaller than the memory of a
 * machine. It is encoded like the string.
 *
 * @example
 * ```ts
 * HeldText.from("text").toString(); // "text"
 * ```
 */
export class HeldText {
  readonly #content: string | Uint8Array;
  /** Size of the text, in bytes. */
  readonly byteLength: number;

  private constructor(content: string | Uint8Array, byteLength: number) {
    this.#content = content;
    this.byteLength = byteLength;
  }

  /** Holds a text; one that is held already is shared. */
  static from(text: string | HeldText): HeldText {
    if (text instanceof HeldText) return text;
    const byteLength = Buffer.byteLength(text);
    if (byteLength <= MAX_STRING_BYTES) return new HeldText(text, byteLength);
    return HeldText.ofBytes(toOwnBytes(text, byteLength));
  }

  /** Holds a text whose UTF-8 is at hand, without a copy. */
  static ofBytes(bytes: Uint8Array): HeldText {
    return new HeldText(bytes, bytes.byteLength);
  }

  /** Gets the size that `estimateBytes` counts, in bytes. */
  get estimatedBytes(): number {
    return this.byteLength;
  }

  /** Gets the text in UTF-8. */
  get utf8(): Uint8Array {
    const content = this.#content;
    return typeof content === "string" ? Buffer.from(content) : content;
  }

  toString(): string {
    const content = this.#content;
    return typeof content === "string" ? content : decodeText(content);
  }

  toJSON(): string {
    return this.toString();
  }
}

/** Encodes a text in memory of its own, which nothing else keeps. */
export function toOwnBytes(text: string, byteLength: number): Buffer {
  const bytes = Buffer.allocUnsafeSlow(byteLength);
  bytes.write(text);
  return bytes;
}

/** Decodes UTF-8. */
export function decodeText(bytes: Uint8Array): string {
  const { buffer, byteOffset, byteLength } = bytes;
  return Buffer.from(buffer, byteOffset, byteLength).toString();
}
