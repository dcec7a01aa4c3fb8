/** Pieces of an output, held together as UTF-8 outside the heap. */
import { decodeText, HeldText, toOwnBytes } from "./held_text.ts";

/** Size of the position of a piece, in bytes. */
const END_BYTES = 8;

/**
 * Holds pieces joined by newlines, in one block. They are encoded like a list
 * of strings.
 *
 * @example
 * ```ts
 * HeldPieces.from(["a", "b"]).first(2).toString(); // "a\nb"
 * ```
 */
export class HeldPieces {
  readonly #bytes: Uint8Array;
  /** Positions in the block after each piece. */
  readonly #ends: readonly number[];

  private constructor(bytes: Uint8Array, ends: readonly number[]) {
    this.#bytes = bytes;
    this.#ends = ends;
  }

  /** Holds pieces; those that are held already are shared. */
  static from(pieces: readonly string[] | HeldPieces): HeldPieces {
    if (pieces instanceof HeldPieces) return pieces;
    const ends = endsOf(pieces.map((piece) => Buffer.byteLength(piece)));
    const bytes = toOwnBytes(pieces.join("\n"), ends.at(-1) ?? 0);
    return new HeldPieces(bytes, ends);
  }

  /** Holds pieces whose UTF-8 is at hand. */
  static ofBytes(pieces: readonly Uint8Array[]): HeldPieces {
    const ends = endsOf(pieces.map(({ byteLength }) => byteLength));
    const bytes = Buffer.allocUnsafeSlow(ends.at(-1) ?? 0).fill("\n");
    for (const [i, piece] of pieces.entries()) {
      bytes.set(piece, ends[i] - piece.byteLength);
    }
    return new HeldPieces(bytes, ends);
  }

  /** Gets the number of pieces. */
  get length(): number {
    return this.#ends.length;
  }

  /** Gets the size that `estimateBytes` counts, in bytes. */
  get estimatedBytes(): number {
    return this.#bytes.byteLength + END_BYTES * this.#ends.length;
  }

  /** Gets the first pieces, joined by newlines; shares their memory. */
  first(count: number): HeldText {
    return HeldText.ofBytes(this.#bytes.subarray(0, this.#ends[count - 1]));
  }

  toJSON(): string[] {
    let start = 0;
    return this.#ends.map((end) => {
      const piece = decodeText(this.#bytes.subarray(start, end));
      start = end + 1;
      return piece;
    });
  }
}

/** Gets the end of each piece; a newline precedes all but the first. */
function endsOf(lengths: readonly number[]): number[] {
  let end = -1;
  return lengths.map((length) => {
    end += 1 + length;
    return end;
  });
}
