/** The queue and the throughput of one model or service. */
import { FairQueue } from "../fairness/mod.ts";
import { LaneFlow } from "./lane_flow.ts";
import { ServiceTimes } from "./service_times.ts";
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

/** Part of a request's time that it may wait in a standing queue. */
const STANDING_WAIT_SHARE = 0.05;
/** Throughput on which no promise is based yet, in tokens a millisecond. */
const UNKNOWN_RATE = 0;

/** Keeps the waiting items of a pool and the rate at which it answers. */
export class Pool {
  /** Items that wait for a target. */
  readonly queue: FairQueue<WorkItem>;
  /** Service times of finished requests. */
  readonly times = new ServiceTimes();
  readonly #getWeight: (workspace: string) => number;
  readonly #lanes = new Map<string, LaneFlow>();
  #queuedTokens = 0;
  #tokensPerMs = UNKNOWN_RATE;
  #countedTokens = 0;
  #countedSince = -1;

  /** Creates an empty pool. */
  constructor(options: PoolOptions) {
    this.#getWeight = options.getWeight;
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

  /** Gets the time until what waits now has been placed, where it is known. */
  get drainMs(): number | undefined {
    if (this.#tokensPerMs === UNKNOWN_RATE) return undefined;
    return this.#queuedTokens / this.#tokensPerMs;
  }

  /** Adds an item at the end, or at the front for a retry. */
  add(item: WorkItem, now: number, options = { isRetry: false }): this {
    if (options.isRetry) this.queue.pushFront(item);
    else this.queue.push(item);
    this.#queuedTokens += item.tokens;
    this.#laneOf(item.workspace, now).onAdded(item.tokens, now);
    return this;
  }

  /** Takes the next item that can be placed. */
  take(
    canPlace: (item: WorkItem) => boolean,
    now: number,
  ): WorkItem | undefined {
    const item = this.queue.take(canPlace);
    if (item === undefined) return undefined;
    this.#queuedTokens -= item.tokens;
    this.#laneOf(item.workspace, now).onTaken(item.tokens, now);
    return item;
  }

  /** Removes an item. */
  remove(item: WorkItem, now: number): boolean {
    if (!this.queue.remove(item)) return false;
    this.#queuedTokens -= item.tokens;
    this.#laneOf(item.workspace, now).onRemoved(item.tokens, now);
    return true;
  }

  /** Counts generated tokens. */
  onTokens(tokens: number, now: number): this {
    if (this.#countedSince < 0) this.#countedSince = now;
    this.#countedTokens += tokens;
    const elapsed = now - this.#countedSince;
    if (elapsed < RATE_INTERVAL_MS) return this;
    const rate = this.#countedTokens / elapsed;
    this.#tokensPerMs = this.#tokensPerMs === UNKNOWN_RATE
      ? rate
      : this.#tokensPerMs + EWMA_WEIGHT * (rate - this.#tokensPerMs);
    this.#countedTokens = 0;
    this.#countedSince = now;
    return this;
  }

  /** Gets the expected wait of a newcomer, in milliseconds. */
  expectedWaitMs(item: WorkItem, now: number): number {
    const lane = this.#laneOf(item.workspace, now);
    const flow = lane.tokensPerMs(now);
    if (flow !== undefined && flow > 0) return lane.queuedTokens / flow;
    if (this.#tokensPerMs === UNKNOWN_RATE) return 0;
    const byShare = lane.queuedTokens /
      (this.#tokensPerMs * this.#shareOf(item.workspace));
    return Math.min(byShare, this.#queuedTokens / this.#tokensPerMs);
  }

  /**
   * Gets the wait at which a newcomer is still admitted, in milliseconds.
   *
   * A burst may wait as long as nearly every request still ends in time; a
   * standing queue is kept short, since it only adds to every answer.
   */
  allowedWaitMs(item: WorkItem, now: number): number {
    const budgetMs = item.deadline - now;
    const shortMs = budgetMs * STANDING_WAIT_SHARE;
    if (this.#laneOf(item.workspace, now).isStanding(now)) return shortMs;
    return Math.max(shortMs, budgetMs - this.times.highMs);
  }

  #shareOf(workspace: string): number {
    const own = this.#getWeight(workspace);
    let weights = own;
    for (const [other, lane] of this.#lanes) {
      const isRival = other !== workspace && lane.queuedTokens > 0;
      if (isRival) weights += this.#getWeight(other);
    }
    return own / weights;
  }

  #laneOf(workspace: string, now: number): LaneFlow {
    let lane = this.#lanes.get(workspace);
    if (lane !== undefined) return lane;
    lane = new LaneFlow(now);
    this.#lanes.set(workspace, lane);
    return lane;
  }
}
