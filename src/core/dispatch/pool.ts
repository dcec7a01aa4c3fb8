/** Queue and throughput of one model or service. */
import { FairQueue } from "../fairness/mod.ts";
import { DrainRateMeter } from "./drain_rate_meter.ts";
import { ServiceTimes } from "./service_times.ts";
import type { WorkItem } from "./work_item.ts";

const EWMA_WEIGHT = 0.1;
const MS_PER_SECOND = 1_000;
/** Minimum time over which throughput is measured, in milliseconds. */
const MIN_RATE_INTERVAL_MS = 1_000;

/** Options of {@link Pool}. */
export interface PoolOptions {
  /** Gets the fair-share weight of a workspace. */
  readonly getWeight: (workspace: string) => number;
}

/** Share of a request's time budget that it may wait in a standing queue. */
const STANDING_WAIT_SHARE = 0.05;
/**
 * Throughput before the first measurement, in tokens per millisecond; no wait
 * is predicted from it.
 */
const UNKNOWN_RATE = 0;

/** Queues the items of a pool and estimates how long they will wait. */
export class Pool {
  /** Items waiting for a target. */
  readonly queue: FairQueue<WorkItem>;
  /** Service times of completed requests. */
  readonly serviceTimes = new ServiceTimes();
  readonly #getWeight: (workspace: string) => number;
  readonly #drainRates = new Map<string, DrainRateMeter>();
  #queuedTokens = 0;
  #tokensPerMs = UNKNOWN_RATE;
  #countedTokens = 0;
  #countedSince = -1;

  /** Creates an empty pool. */
  constructor(options: PoolOptions) {
    this.#getWeight = options.getWeight;
    this.queue = new FairQueue({ getWeight: options.getWeight });
  }

  /** Gets the number of queued tokens. */
  get queuedTokens(): number {
    return this.#queuedTokens;
  }

  /** Gets the measured throughput, in tokens per second; 0 if unknown. */
  get tokensPerSecond(): number {
    return this.#tokensPerMs * MS_PER_SECOND;
  }

  /** Gets the expected time to drain the queue, if known, in milliseconds. */
  get drainMs(): number | undefined {
    if (this.#tokensPerMs === UNKNOWN_RATE) return undefined;
    return this.#queuedTokens / this.#tokensPerMs;
  }

  /** Adds an item at the end of the queue, or at the front for a retry. */
  add(item: WorkItem, now: number, options = { isRetry: false }): this {
    if (options.isRetry) this.queue.pushFront(item);
    else this.queue.push(item);
    this.#queuedTokens += item.tokens;
    this.#drainRateOf(item.workspace, now).onAdded(item.tokens, now);
    return this;
  }

  /** Removes and returns the next item that can be placed. */
  dequeue(
    canPlace: (item: WorkItem) => boolean,
    now: number,
  ): WorkItem | undefined {
    const item = this.queue.dequeue(canPlace);
    if (item === undefined) return undefined;
    this.#queuedTokens -= item.tokens;
    this.#drainRateOf(item.workspace, now).onDequeued(item.tokens, now);
    return item;
  }

  /** Removes an item; returns false if it is not queued. */
  remove(item: WorkItem, now: number): boolean {
    if (!this.queue.remove(item)) return false;
    this.#queuedTokens -= item.tokens;
    this.#drainRateOf(item.workspace, now).onRemoved(item.tokens, now);
    return true;
  }

  /** Adds generated tokens to the measured throughput. */
  onTokens(tokens: number, now: number): this {
    if (this.#countedSince < 0) this.#countedSince = now;
    this.#countedTokens += tokens;
    const elapsed = now - this.#countedSince;
    if (elapsed < MIN_RATE_INTERVAL_MS) return this;
    const rate = this.#countedTokens / elapsed;
    this.#tokensPerMs = this.#tokensPerMs === UNKNOWN_RATE
      ? rate
      : this.#tokensPerMs + EWMA_WEIGHT * (rate - this.#tokensPerMs);
    this.#countedTokens = 0;
    this.#countedSince = now;
    return this;
  }

  /** Gets the expected wait of a new item, in milliseconds. */
  expectedWaitMs(item: WorkItem, now: number): number {
    const meter = this.#drainRateOf(item.workspace, now);
    const drainRate = meter.tokensPerMs(now);
    if (drainRate !== undefined && drainRate > 0) {
      return meter.queuedTokens / drainRate;
    }
    if (this.#tokensPerMs === UNKNOWN_RATE) return 0;
    const byShare = meter.queuedTokens /
      (this.#tokensPerMs * this.#shareOf(item.workspace));
    return Math.min(byShare, this.#queuedTokens / this.#tokensPerMs);
  }

  /**
   * Gets the expected wait up to which an item is admitted, in milliseconds.
   *
   * A burst may wait as long as nearly all requests still meet their deadline.
   * A standing queue is kept short, because it only adds latency.
   */
  allowedWaitMs(item: WorkItem, now: number): number {
    const budgetMs = item.deadline - now;
    const shortMs = budgetMs * STANDING_WAIT_SHARE;
    if (this.#drainRateOf(item.workspace, now).isStanding(now)) return shortMs;
    return Math.max(shortMs, budgetMs - this.serviceTimes.p99Ms);
  }

  #shareOf(workspace: string): number {
    const own = this.#getWeight(workspace);
    let weights = own;
    for (const [other, meter] of this.#drainRates) {
      const isCompeting = other !== workspace && meter.queuedTokens > 0;
      if (isCompeting) weights += this.#getWeight(other);
    }
    return own / weights;
  }

  #drainRateOf(workspace: string, now: number): DrainRateMeter {
    let meter = this.#drainRates.get(workspace);
    if (meter !== undefined) return meter;
    meter = new DrainRateMeter(now);
    this.#drainRates.set(workspace, meter);
    return meter;
  }
}
