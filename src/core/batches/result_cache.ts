/** Results that an instance has seen; they keep their positions for ever. */
import { LRUCache } from "lru-cache";
import type { BatchResult, ResultPage } from "./batch.ts";

interface CachedBatch {
  readonly workspace: string;
  readonly total: number;
  readonly results: readonly BatchResult[];
  readonly bytes: number;
}

/**
 * Keeps the results of batches from their first position on.
 *
 * @example
 * ```ts
 * cache.add({ workspace, batch, after: 0 }, page);
 * cache.get({ workspace, batch, after: 0 }, 1_000_000)?.results;
 * ```
 */
export class ResultCache {
  readonly #batches: LRUCache<string, CachedBatch>;

  /** Creates a cache of a size in bytes. */
  constructor(maxBytes: number) {
    this.#batches = new LRUCache({
      maxSize: maxBytes,
      sizeCalculation: ({ bytes }) => bytes + OVERHEAD_BYTES,
    });
  }

  /** Gets results after a position; undefined where none is held. */
  get(place: ResultPlace, maxBytes: number): ResultPage | undefined {
    const cached = this.#find(place);
    if (cached === undefined || cached.results.length <= place.after) {
      return undefined;
    }
    const results: BatchResult[] = [];
    let bytes = 0;
    for (let i = place.after; i < cached.results.length; i += 1) {
      bytes += sizeOf(cached.results[i]);
      if (results.length > 0 && bytes > maxBytes) break;
      results.push(cached.results[i]);
    }
    const next = place.after + results.length;
    return { total: cached.total, next, results };
  }

  /** Adds a page that follows on what is held. */
  add(place: ResultPlace, page: ResultPage): this {
    const cached = this.#find(place);
    const held = cached?.results ?? [];
    const isNext = place.after <= held.length && page.next > held.length;
    if (!isNext) return this;
    const added = page.results.slice(held.length - place.after);
    const bytes = added.reduce((sum, r) => sum + sizeOf(r), cached?.bytes ?? 0);
    this.#batches.set(place.batch, {
      workspace: place.workspace,
      total: page.total,
      results: [...held, ...added],
      bytes,
    });
    return this;
  }

  #find({ workspace, batch }: ResultPlace): CachedBatch | undefined {
    const cached = this.#batches.get(batch);
    return cached?.workspace === workspace ? cached : undefined;
  }
}

/** Position within a batch of a workspace. */
export interface ResultPlace {
  readonly workspace: string;
  readonly batch: string;
  readonly after: number;
}

/** Memory of a batch besides its texts. */
const OVERHEAD_BYTES = 1_024;

function sizeOf(result: BatchResult): number {
  return result.text.length + OVERHEAD_BYTES / 8;
}
