/** A result whose text is held outside the heap, in a file, or not at all. */
import { crc32 } from "node:zlib";
import type { TextDigest, TextLocation } from "../bytes/mod.ts";
import { NutmegreelError } from "../errors/mod.ts";
import type { BatchResult, ResultState } from "./batch.ts";
import { HeldText } from "./held_text.ts";

/** Estimated size of a result without its text, in bytes. */
const OVERHEAD_BYTES = 300;
/** Size below which a text is neither in a file nor missing, in bytes. */
const MIN_DETACHED_BYTES = 256;

/** Where the text of a result is. */
interface TextSource {
  /** Parts of the text in memory, which newlines separate. */
  readonly parts?: readonly HeldText[];
  /** Place of the text in a file. */
  readonly location?: TextLocation;
  /** What is known of a text that the replica does not have. */
  readonly digest?: TextDigest;
}

/** A result whose text is in a file, as snapshots name it. */
export interface LocatedResult extends Omit<BatchResult, "text"> {
  readonly location: TextLocation;
}

/** A result whose text the replica does not have, as snapshots name it. */
export interface DetachedResult extends Omit<BatchResult, "text"> {
  readonly digest: TextDigest;
}

/** Thrown if a text is used that is not in memory. */
export class TextNotReadError extends NutmegreelError {
  /** @param id - Identifier of the item. */
  constructor(id: string) {
    super("textNotRead", `The text of ${id} is not in memory`);
  }
}

/** Shares the texts of the log's entries; is encoded like a plain result. */
export class HeldResult implements BatchResult {
  readonly id: string;
  readonly state: ResultState;
  readonly versions: readonly number[];
  readonly score?: string;
  readonly #source: TextSource;

  private constructor(
    { id, state, versions, score }: Omit<BatchResult, "text">,
    source: TextSource,
  ) {
    this.id = id;
    this.state = state;
    this.versions = versions;
    if (score !== undefined) this.score = score;
    this.#source = source;
  }

  /** Holds a result; one that is held already is shared. */
  static from(
    result: BatchResult | LocatedResult | DetachedResult,
  ): HeldResult {
    if (result instanceof HeldResult) return result;
    if ("location" in result) {
      return new HeldResult(result, { location: result.location });
    }
    if ("digest" in result) {
      return new HeldResult(result, { digest: result.digest });
    }
    return new HeldResult(result, { parts: [HeldText.from(result.text)] });
  }

  /** Gets the place of the text; undefined if it is in no file. */
  get location(): TextLocation | undefined {
    return this.#source.location;
  }

  /** Gets whether the text is in memory. */
  get hasText(): boolean {
    return this.#source.parts !== undefined;
  }

  /** Gets whether this replica does not have the text. */
  get isMissing(): boolean {
    return this.#source.digest !== undefined;
  }

  /** Gets the digest of the text, wherever it is. */
  get digest(): TextDigest {
    const { location, digest } = this.#source;
    const known = location ?? digest;
    if (known !== undefined) {
      return { length: known.length, checksum: known.checksum };
    }
    const { utf8 } = this;
    return { length: utf8.byteLength, checksum: crc32(utf8) };
  }

  /**
   * Gets the text, decoded anew.
   * @throws TextNotReadError if it is not in memory.
   */
  get text(): string {
    return this.#parts.join("\n");
  }

  /**
   * Gets the text in UTF-8.
   * @throws TextNotReadError if it is not in memory.
   */
  get utf8(): Uint8Array {
    const [first, ...others] = this.#parts;
    return others.length === 0 ? first.utf8 : Buffer.from(this.text);
  }

  /** Gets the size of the text, in bytes. */
  get textBytes(): number {
    const { parts, location, digest } = this.#source;
    if (parts === undefined) return (location ?? digest)?.length ?? 0;
    let bytes = Math.max(0, parts.length - 1);
    for (const { byteLength } of parts) bytes += byteLength;
    return bytes;
  }

  /** Gets the size of the part of the text that is in memory, in bytes. */
  get heldTextBytes(): number {
    return this.hasText ? this.textBytes : 0;
  }

  /** Gets the size that `estimateBytes` counts, in bytes. */
  get estimatedBytes(): number {
    return OVERHEAD_BYTES + (this.isMissing ? 0 : this.textBytes);
  }

  /** Gets the estimated size in memory, in bytes. */
  get heldBytes(): number {
    return OVERHEAD_BYTES + this.heldTextBytes;
  }

  /** Gets the result with other texts before its own. */
  after(parts: readonly HeldText[]): HeldResult {
    const own = this.textBytes > 0 ? this.#parts : [];
    return new HeldResult(this, { parts: [...parts, ...own] });
  }

  /** Gets the result with its text in a file. */
  at(location: TextLocation): HeldResult {
    return new HeldResult(this, { location });
  }

  /** Gets the result with its text in memory. */
  withText(utf8: Uint8Array): HeldResult {
    return new HeldResult(this, { parts: [HeldText.ofBytes(utf8)] });
  }

  /** Gets the result with the digest of its text alone, unless it is short. */
  detach(): HeldResult {
    if (this.isMissing || !this.isDetachable) return this;
    return new HeldResult(this, { digest: this.digest });
  }

  /** Gets whether the text may be in a file, or be missing. */
  get isDetachable(): boolean {
    return this.textBytes >= MIN_DETACHED_BYTES;
  }

  /**
   * Gets a plain result whose fields have the order in which builds list them.
   * @throws TextNotReadError if its text is not in memory.
   */
  toPlain(): BatchResult {
    const { id, state, text, versions, score } = this;
    const result = { id, state, text, versions };
    return score === undefined ? result : { ...result, score };
  }

  /** Gets what is stored: the text, or its place, or its digest. */
  toJSON(): BatchResult | LocatedResult | DetachedResult {
    const { id, state, versions, score } = this;
    const { parts, location, digest } = this.#source;
    if (parts !== undefined) return this.toPlain();
    const place = location === undefined ? { digest: digest! } : { location };
    const result = { id, state, versions, ...place };
    return score === undefined ? result : { ...result, score };
  }

  get #parts(): readonly HeldText[] {
    const { parts } = this.#source;
    if (parts === undefined) throw new TextNotReadError(this.id);
    return parts;
  }
}
