/** A result whose text is held outside the heap. */
import type { BatchResult, ResultState } from "./batch.ts";
import { HeldText } from "./held_text.ts";

/** Estimated size of a result without its text, in bytes. */
const OVERHEAD_BYTES = 300;

/** Shares the texts of the log's entries; is encoded like a plain result. */
export class HeldResult implements BatchResult {
  readonly id: string;
  readonly state: ResultState;
  readonly versions: readonly number[];
  readonly score?: string;
  /** Parts of the text, which newlines separate. */
  readonly #parts: readonly HeldText[];

  private constructor(
    { id, state, versions, score }: Omit<BatchResult, "text">,
    parts: readonly HeldText[],
  ) {
    this.id = id;
    this.state = state;
    this.versions = versions;
    if (score !== undefined) this.score = score;
    this.#parts = parts;
  }

  /** Holds a result; one that is held already is shared. */
  static from(result: BatchResult): HeldResult {
    if (result instanceof HeldResult) return result;
    return new HeldResult(result, [HeldText.from(result.text)]);
  }

  /** Gets the text, decoded anew. */
  get text(): string {
    return this.#parts.join("\n");
  }

  /** Gets the size of the text, in bytes. */
  get textBytes(): number {
    let bytes = Math.max(0, this.#parts.length - 1);
    for (const { byteLength } of this.#parts) bytes += byteLength;
    return bytes;
  }

  /** Gets the size that `estimateBytes` counts, in bytes. */
  get estimatedBytes(): number {
    return OVERHEAD_BYTES + this.textBytes;
  }

  /** Gets the result with other texts before its own. */
  after(parts: readonly HeldText[]): HeldResult {
    const own = this.textBytes > 0 ? this.#parts : [];
    return new HeldResult(this, [...parts, ...own]);
  }

  /** Gets a plain result whose fields have the order in which builds list them. */
  toJSON(): BatchResult {
    const { id, state, text, versions, score } = this;
    const result = { id, state, text, versions };
    return score === undefined ? result : { ...result, score };
  }
}
