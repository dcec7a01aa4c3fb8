/** Cache of batch results; entries never expire, as positions never change. */
import { LRUCache } from "lru-cache";
import type { BatchResult, ResultPage } from "./batch.ts";

interface CachedBatch {
  readonly workspace: string;
  readonly total: number;
  readonly results: readonly BatchResult[];
  readonly bytes: number;
}

/**
 * Caches the results of batches as gapless sequences from the first position.
 *
 * @example
 * ```ts
 * cache.add({ workspace, batch, after: 0 }, page);
 * cache.get({ workspace, batch, after: 0 }, 1_000_000)?.results;
 * ```
 */
export class ResultCache {
  readonly #batches: LRUCache<string, CachedBatch>;

  /**
   * Creates an empty cache.
   * @param maxBytes - Size beyond which the least recently used are evicted.
   */
  constructor(maxBytes: number) {
    this.#batches = new LRUCache({
      maxSize: maxBytes,
      sizeCalculation: ({ bytes }) => bytes + OVERHEAD_BYTES,
    });
  }

  /**
   * Gets a page of results after a position, or undefined if none is cached.
   * @param maxBytes - Maximum size of the page; one result is always returned.
   */
  get(position: ResultPosition, maxBytes: number): ResultPage | undefined {
    const cached = this.#find(position);
    if (cached === undefined || cached.results.length <= position.after) {
      return undefined;
    }
    const results: BatchResult[] = [];
    let bytes = 0;
    for (let i = position.after; i < cached.results.length; i += 1) {
      bytes += sizeOf(cached.results[i]);
      if (results.length > 0 && bytes > maxBytes) break;
      results.push(cached.results[i]);
    }
    const next = position.after + results.length;
    return { total: cached.total, next, results };
  }

  /** Adds a page; ignored if it would leave a gap or adds nothing new. */
  add(position: ResultPosition, page: ResultPage): this {
    const cached = this.#find(position);
    const cachedResults = cached?.results ?? [];
    const isContinuation = position.after <= cachedResults.length &&
      page.next > cachedResults.length;
    if (!isContinuation) return this;
    const added = page.results.slice(cachedResults.length - position.after);
    const bytes = added.reduce((sum, r) => sum + sizeOf(r), cached?.bytes ?? 0);
    this.#batches.set(position.batch, {
      workspace: position.workspace,
      total: page.total,
      results: [...cachedResults, ...added],
      bytes,
    });
    return this;
  }

  #find({ workspace, batch }: ResultPosition): CachedBatch | undefined {
    const cached = this.#batches.get(batch);
    return cached?.workspace === workspace ? cached : undefined;
  }
}

/** Position in the results of a batch of a workspace. */
export interface ResultPosition {
  readonly workspace: string;
  readonly batch: string;
  /** Number of results before the position. */
  readonly after: number;
}

/** Estimated memory of a batch without its texts, in bytes. */
const OVERHEAD_BYTES = 1_024;

function sizeOf(result: BatchResult): number {
  return result.text.length + OVERHEAD_BYTES / 8;
}
