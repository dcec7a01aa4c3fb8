/** A partial output whose pieces are held outside the heap. */
import { HeldPieces } from "./held_pieces.ts";
import type { HeldText } from "./held_text.ts";
import type { PartialText } from "./run_text.ts";

/** Estimated size of a part without its pieces, in bytes. */
const OVERHEAD_BYTES = 300;

/** Parts of a {@link HeldPartialText}. */
export interface HeldPartialTextStructure
  extends Omit<PartialText, "pieces" | "lastId"> {
  readonly parts: readonly HeldPieces[];
}

/** Shares the pieces of the log's entries; is encoded like a plain text. */
export class HeldPartialText {
  readonly lastId: number;
  readonly versions: readonly number[];
  readonly software: string | undefined;
  readonly isComplete?: boolean;
  readonly #parts: readonly HeldPieces[];

  constructor(structure: HeldPartialTextStructure) {
    const { parts, versions, software, isComplete } = structure;
    this.#parts = parts;
    this.lastId = parts.reduce((sum, { length }) => sum + length, 0);
    this.versions = versions;
    this.software = software;
    if (isComplete !== undefined) this.isComplete = isComplete;
  }

  /** Holds a partial output; one that is held already is shared. */
  static from(text: PartialText | HeldPartialText): HeldPartialText {
    if (text instanceof HeldPartialText) return text;
    return new HeldPartialText({
      ...text,
      parts: [HeldPieces.from(text.pieces)],
    });
  }

  /** Gets the parts that hold the pieces, in order. */
  get parts(): readonly HeldPieces[] {
    return this.#parts;
  }

  /** Gets the size that `estimateBytes` counts, in bytes. */
  get estimatedBytes(): number {
    return this.#parts
      .reduce((sum, part) => sum + OVERHEAD_BYTES + part.estimatedBytes, 0);
  }

  /** Gets the texts of the first pieces. */
  first(count: number): HeldText[] {
    const texts: HeldText[] = [];
    let left = count;
    for (const part of this.#parts) {
      const taken = Math.min(left, part.length);
      if (taken > 0) texts.push(part.first(taken));
      left -= taken;
    }
    return texts;
  }

  /** Gets a plain partial output, which decodes its pieces when they are read. */
  toJSON(): PartialText {
    const parts = this.#parts;
    const { lastId, versions, software, isComplete } = this;
    return {
      lastId,
      get pieces() {
        return parts.flatMap((part) => part.toJSON());
      },
      versions,
      software,
      ...(isComplete === undefined ? {} : { isComplete }),
    };
  }
}
