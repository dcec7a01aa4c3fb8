/** How fast the queue of one workspace moves. */

const EWMA_WEIGHT = 0.3;
/** Time over which the flow is counted, in milliseconds. */
const INTERVAL_MS = 500;
/** Items from which a flow is told; answers that come in bursts need some. */
const MIN_TAKEN = 16;
/** Time without an empty queue after which a queue counts as standing. */
const STANDING_MS = 1_000;

/**
 * Keeps what waits for a workspace and what leaves its queue.
 *
 * @example
 * ```ts
 * flow.onAdded(100, now);
 * flow.onTaken(100, now).isStanding(now); // false: the queue is empty
 * ```
 */
export class LaneFlow {
  #queued = 0;
  #taken = 0;
  #takenItems = 0;
  #countedSince: number;
  #tokensPerMs: number | undefined;
  #standingSince: number;

  /** Creates the flow of an empty queue. */
  constructor(now: number) {
    this.#countedSince = now;
    this.#standingSince = now;
  }

  /** Gets the tokens that wait. */
  get queuedTokens(): number {
    return this.#queued;
  }

  /** Gets whether the queue has not been empty for a while. */
  isStanding(now: number): boolean {
    return this.#queued > 0 && now - this.#standingSince >= STANDING_MS;
  }

  /** Gets the tokens that leave a standing queue in a millisecond. */
  tokensPerMs(now: number): number | undefined {
    return this.isStanding(now) ? this.#tokensPerMs : undefined;
  }

  /** Records an added item. */
  onAdded(tokens: number, now: number): this {
    if (this.#queued <= 0) this.#restart(now);
    this.#queued += tokens;
    return this;
  }

  /** Records an item that was placed. */
  onTaken(tokens: number, now: number): this {
    this.#taken += tokens;
    this.#takenItems += 1;
    this.onRemoved(tokens, now);
    const elapsed = now - this.#countedSince;
    if (elapsed < INTERVAL_MS || this.#takenItems < MIN_TAKEN) return this;
    const rate = this.#taken / elapsed;
    const former = this.#tokensPerMs ?? rate;
    this.#tokensPerMs = former + EWMA_WEIGHT * (rate - former);
    this.#taken = 0;
    this.#takenItems = 0;
    this.#countedSince = now;
    return this;
  }

  /** Records an item that left without being placed. */
  onRemoved(tokens: number, now: number): this {
    this.#queued -= tokens;
    if (this.#queued <= 0) this.#restart(now);
    return this;
  }

  #restart(now: number): void {
    this.#queued = 0;
    this.#standingSince = now;
    this.#countedSince = now;
    this.#taken = 0;
    this.#takenItems = 0;
    this.#tokensPerMs = undefined;
  }
}
