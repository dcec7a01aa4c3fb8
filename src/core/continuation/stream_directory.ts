/** Streams that callers may resume, and the writers of their events. */
import { LRUCache } from "lru-cache";
import type { OutputWriter } from "./output_writer.ts";

/** Identifies a stream by the request that brought its first event. */
export interface StreamKey {
  /** Workspace of the caller; undefined on routes that need no key. */
  readonly workspace: string | undefined;
  readonly request: string;
}

/** A stream of which a caller holds events. */
export interface StreamRecord extends StreamKey {
  readonly writer: OutputWriter;
  /** Time for which the caller may return, in milliseconds. */
  readonly keepMs: number;
}

/** Options of {@link StreamDirectory}. */
export interface StreamDirectoryOptions {
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Maximum number of streams; 50,000 where absent. */
  readonly maxStreams?: number;
}

interface KnownStream {
  readonly key: StreamKey;
  readonly writer: OutputWriter;
}

/** Maximum number of streams; the oldest one is evicted. */
const MAX_STREAMS = 50_000;

/**
 * Stores streams for as long as their callers may resume them. Callers find
 * streams of their own workspace, and those without a workspace.
 *
 * @example
 * ```ts
 * directory.add({ workspace: "zoo", request: "r1", writer, keepMs: 10_000 });
 * directory.get({ workspace: "park", request: "r1" }); // undefined
 * ```
 */
export class StreamDirectory {
  readonly #streams: LRUCache<string, KnownStream>;

  constructor({ now, maxStreams = MAX_STREAMS }: StreamDirectoryOptions) {
    this.#streams = new LRUCache({
      max: maxStreams,
      ttlResolution: 0,
      perf: { now },
    });
  }

  /** Gets the number of streams. */
  get size(): number {
    return this.#streams.size;
  }

  /** Gets whether no stream is stored. */
  get isEmpty(): boolean {
    this.#streams.purgeStale();
    return this.#streams.size === 0;
  }

  /** Gets the stored streams, the latest ones first. */
  get keys(): StreamKey[] {
    this.#streams.purgeStale();
    return [...this.#streams.values()].map(({ key }) => key);
  }

  /**
   * Adds a stream, stored for its retention time from now on. If another
   * version is known to have written it, as after a duplicate request, its
   * events may be of either: its version is unknown from then on.
   */
  add({ writer, keepMs, workspace, request }: StreamRecord): this {
    const key = { workspace, request };
    const known = this.#find(key);
    const isSame = known === undefined ||
      (known.service === writer.service && known.software === writer.software);
    const { service } = writer;
    this.#streams.set(encodeKey(key), {
      key,
      writer: isSame ? writer : { service, software: undefined },
    }, { ttl: Math.max(1, Math.ceil(keepMs)) });
    return this;
  }

  /**
   * Gets who wrote the events of a stream. A caller who began it without a key
   * may bring one by now, as its route needs one.
   */
  get({ workspace, request }: StreamKey): OutputWriter | undefined {
    return this.#find({ workspace, request }) ??
      this.#find({ workspace: undefined, request });
  }

  /**
   * Gets the record with which another instance stores a stream for as long.
   */
  getRecord(key: StreamKey): StreamRecord | undefined {
    const writer = this.#find(key);
    if (writer === undefined) return undefined;
    const keepMs = this.#streams.getRemainingTTL(encodeKey(key));
    return { ...key, writer, keepMs };
  }

  #find(key: StreamKey): OutputWriter | undefined {
    return this.#streams.get(encodeKey(key))?.writer;
  }
}

function encodeKey({ workspace, request }: StreamKey): string {
  return JSON.stringify([workspace ?? null, request]);
}
