/** A result whose text is held outside the heap, or in a file. */
import { NutmegreelError } from "../errors/mod.ts";
import type { BatchResult, ResultState } from "./batch.ts";
import { HeldText } from "./held_text.ts";
import type { TextLocation } from "../bytes/mod.ts";

/** Estimated size of a result without its text, in bytes. */
const OVERHEAD_BYTES = 300;

/** A result whose text is in a file, as snapshots name it. */
export interface LocatedResult extends Omit<BatchResult, "text"> {
  readonly location: TextLocation;
}

/** Thrown if a text is used that has not been read from its file. */
export class TextNotReadError extends NutmegreelError {
  /** @param id - Identifier of the item. */
  constructor(id: string) {
    super("textNotRead", `The text of ${id} has not been read from its file`);
  }
}

/** Shares the texts of the log's entries; is encoded like a plain result. */
export class HeldResult implements BatchResult {
  readonly id: string;
  readonly state: ResultState;
  readonly versions: readonly number[];
  readonly score?: string;
  /** Parts of the text, which newlines separate; none if it is in a file. */
  readonly #parts: readonly HeldText[];
  readonly #location: TextLocation | undefined;

  private constructor(
    { id, state, versions, score }: Omit<BatchResult, "text">,
    parts: readonly HeldText[],
    location?: TextLocation,
  ) {
    this.id = id;
    this.state = state;
    this.versions = versions;
    if (score !== undefined) this.score = score;
    this.#parts = parts;
    this.#location = location;
  }

  /** Holds a result; one that is held already is shared. */
  static from(result: BatchResult | LocatedResult): HeldResult {
    if (result instanceof HeldResult) return result;
    if ("location" in result) {
      return new HeldResult(result, [], result.location);
    }
    return new HeldResult(result, [HeldText.from(result.text)]);
  }

  /** Gets the place of the text; undefined if it is in memory. */
  get location(): TextLocation | undefined {
    return this.#location;
  }

  /**
   * Gets the text, decoded anew.
   * @throws TextNotReadError if it is in a file.
   */
  get text(): string {
    this.#throwIfLocated();
    return this.#parts.join("\n");
  }

  /**
   * Gets the text in UTF-8.
   * @throws TextNotReadError if it is in a file.
   */
  get utf8(): Uint8Array {
    this.#throwIfLocated();
    const [first, ...others] = this.#parts;
    return others.length === 0 ? first.utf8 : Buffer.from(this.text);
  }

  /** Gets the size of the text, in bytes. */
  get textBytes(): number {
    if (this.#location !== undefined) return this.#location.length;
    let bytes = Math.max(0, this.#parts.length - 1);
    for (const { byteLength } of this.#parts) bytes += byteLength;
    return bytes;
  }

  /** Gets the size of the part of the text that is in memory, in bytes. */
  get heldTextBytes(): number {
    return this.#location === undefined ? this.textBytes : 0;
  }

  /** Gets the size that `estimateBytes` counts, in bytes. */
  get estimatedBytes(): number {
    return OVERHEAD_BYTES + this.textBytes;
  }

  /** Gets the estimated size in memory, in bytes. */
  get heldBytes(): number {
    return OVERHEAD_BYTES + this.heldTextBytes;
  }

  /** Gets the result with other texts before its own. */
  after(parts: readonly HeldText[]): HeldResult {
    const own = this.textBytes > 0 ? this.#parts : [];
    return new HeldResult(this, [...parts, ...own]);
  }

  /** Gets the result with its text in a file. */
  at(location: TextLocation): HeldResult {
    return new HeldResult(this, [], location);
  }

  /** Gets the result with its text in memory. */
  withText(utf8: Uint8Array): HeldResult {
    return new HeldResult(this, [HeldText.ofBytes(utf8)]);
  }

  /**
   * Gets a plain result whose fields have the order in which builds list them.
   * @throws TextNotReadError if its text is in a file.
   */
  toPlain(): BatchResult {
    const { id, state, text, versions, score } = this;
    const result = { id, state, text, versions };
    return score === undefined ? result : { ...result, score };
  }

  /** Gets what is stored of the result: its text, or the place of that. */
  toJSON(): BatchResult | LocatedResult {
    const { id, state, versions, score, location } = this;
    if (location === undefined) return this.toPlain();
    const result = { id, state, versions, location };
    return score === undefined ? result : { ...result, score };
  }

  #throwIfLocated(): void {
    if (this.#location !== undefined) throw new TextNotReadError(this.id);
  }
}
