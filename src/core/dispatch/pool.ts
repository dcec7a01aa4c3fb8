/** The queue and the throughput of one model or service. */
import { FairQueue } from "../fairness/mod.ts";
import type { WorkItem } from "./work_item.ts";

const EWMA_WEIGHT = 0.1;
const MS_PER_SECOND = 1_000;
/** Time over which throughput is counted, in milliseconds. */
const RATE_INTERVAL_MS = 1_000;

/** Options of {@link Pool}. */
export interface PoolOptions {
  /** Gets the weight of a workspace. */
  readonly getWeight: (workspace: string) => number;
}

/** Keeps the waiting items of a pool and the rate at which it answers. */
export class Pool {
  /** Items that wait for a target. */
  readonly queue: FairQueue<WorkItem>;
  #queuedTokens = 0;
  #tokensPerMs = 0;
  #countedTokens = 0;
  #countedSince = -1;

  /** Creates an empty pool. */
  constructor(options: PoolOptions) {
    this.queue = new FairQueue({ getWeight: options.getWeight });
  }

  /** Gets the tokens that wait. */
  get queuedTokens(): number {
    return this.#queuedTokens;
  }

  /** Gets the measured throughput, in tokens a second. */
  get tokensPerSecond(): number {
    return this.#tokensPerMs * MS_PER_SECOND;
  }

  /** Adds an item at the end, or at the front for a retry. */
  add(item: WorkItem, isRetry = false): this {
    if (isRetry) this.queue.pushFront(item);
    else this.queue.push(item);
    this.#queuedTokens += item.tokens;
    return this;
  }

  /** Takes the next item that can be placed. */
  take(canPlace: (item: WorkItem) => boolean): WorkItem | undefined {
    const item = this.queue.take(canPlace);
    if (item !== undefined) this.#queuedTokens -= item.tokens;
    return item;
  }

  /** Removes an item. */
  remove(item: WorkItem): boolean {
    const isRemoved = this.queue.remove(item);
    if (isRemoved) this.#queuedTokens -= item.tokens;
    return isRemoved;
  }

  /** Counts generated tokens. */
  onTokens(tokens: number, now: number): this {
    if (this.#countedSince < 0) this.#countedSince = now;
    this.#countedTokens += tokens;
    const elapsed = now - this.#countedSince;
    if (elapsed < RATE_INTERVAL_MS) return this;
    const rate = this.#countedTokens / elapsed;
    const isFirst = this.#tokensPerMs === 0;
    this.#tokensPerMs = isFirst
      ? rate
      : this.#tokensPerMs + EWMA_WEIGHT * (rate - this.#tokensPerMs);
    this.#countedTokens = 0;
    this.#countedSince = now;
    return this;
  }

  /**
   * Gets the expected wait of a newcomer, in milliseconds.
   * @param share - Share of the pool that its workspace is due, from 0 to 1.
   * @param ownTokens - Tokens of its workspace that wait before it.
   */
  expectedWaitMs(share: number, ownTokens: number): number {
    if (this.#tokensPerMs === 0) return 0;
    const byShare = ownTokens / (this.#tokensPerMs * Math.max(share, 0.001));
    return Math.min(byShare, this.#queuedTokens / this.#tokensPerMs);
  }
}
