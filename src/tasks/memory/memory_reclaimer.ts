/** Collection of the memory of buffers that are no longer used. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Size of a buffer that is worth a collection by itself, in bytes. */
export const LARGE_BUFFER_BYTES = 1_048_576;
/** What is collected: buffers that were read just now, or all. */
export const Collection = { Recent: "recent", Full: "full" } as const;

/** One of the values of {@link Collection}. */
export type Collection = typeof Collection[keyof typeof Collection];

/** Collects the garbage of this process. */
export type Collect = (collection: Collection) => void;

/** Bytes of buffers that may wait for a collection, dropped as they were read. */
const MAX_SHORT_LIVED_BYTES = 2_097_152;
/** The same, dropped after they were held for a time. */
const MAX_LONG_LIVED_BYTES = 4_194_304;

/**
 * Collects garbage as bytes come and go. Buffers lie outside the heap, so that V8
 * sees little reason to collect them, while senders that come faster than its
 * collections fill the machine.
 *
 * @example
 * ```ts
 * new MemoryReclaimer().addShortLived(part.length);
 * ```
 */
export class MemoryReclaimer {
  readonly #collect: Collect;
  #shortLivedBytes = 0;
  #longLivedBytes = 0;

  /** @param collect - Collects garbage; by default, that of this process. */
  constructor(collect: Collect = collectGarbage) {
    this.#collect = collect;
  }

  /** Counts bytes that are dropped as soon as they have been read. */
  addShortLived(bytes: number): this {
    this.#shortLivedBytes += bytes;
    if (this.#shortLivedBytes < MAX_SHORT_LIVED_BYTES) return this;
    this.#shortLivedBytes = 0;
    this.#collect(Collection.Recent);
    return this;
  }

  /** Counts a buffer that is no longer used, if it is a large one. */
  addBuffer(bytes: number): this {
    if (bytes < LARGE_BUFFER_BYTES) return this;
    // Whoever has called holds it until then.
    setImmediate(() => this.addLongLived(bytes));
    return this;
  }

  /** Counts bytes that are dropped after they were held for a time. */
  addLongLived(bytes: number): this {
    this.#longLivedBytes += bytes;
    if (this.#longLivedBytes < MAX_LONG_LIVED_BYTES) return this;
    this.#longLivedBytes = 0;
    this.#shortLivedBytes = 0;
    this.#collect(Collection.Full);
    return this;
  }
}

/** The function of V8, which collects all without options. */
type CollectByV8 = (options?: { readonly type: "minor" }) => void;

let collectByV8: CollectByV8 | undefined;

const COLLECTIONS: Readonly<
  Record<Collection, (collect: CollectByV8) => void>
> = {
  [Collection.Recent]: (collect) => collect({ type: "minor" }),
  [Collection.Full]: (collect) => collect(),
};

function collectGarbage(collection: Collection): void {
  collectByV8 ??= exposeCollection();
  COLLECTIONS[collection](collectByV8);
}

/** Gets the collection of V8, which programs see by a flag alone. */
function exposeCollection(): CollectByV8 {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as CollectByV8;
  setFlagsFromString("--no-expose-gc");
  return collect;
}

/** Reclaimer of this process, whose garbage is collected all at once. */
export const RECLAIMER = new MemoryReclaimer();
