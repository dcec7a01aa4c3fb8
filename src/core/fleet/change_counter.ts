/** Numbers of published changes, and when each was published. */

interface PublishedChange {
  readonly change: number;
  readonly at: number;
}

/**
 * Counts the changes that a publisher sends to its followers. A follower
 * confirms a change some time after it has arrived, so it has missed one only
 * if it does not confirm a change of that age.
 *
 * @example
 * ```ts
 * counter.add(1_000);
 * counter.countUntil(999); // 0
 * counter.countUntil(1_000); // 1
 * ```
 */
export class ChangeCounter {
  /** Time for which the times of changes are kept, in milliseconds. */
  readonly #retentionMs: number;
  #count = 0;
  /** Number of the last change whose time is no longer kept. */
  #pruned = 0;
  #recent: PublishedChange[] = [];

  /**
   * Creates a counter without changes.
   * @param retentionMs - Greatest age that {@link countUntil} can distinguish.
   */
  constructor(retentionMs: number) {
    this.#retentionMs = retentionMs;
  }

  /** Gets the number of changes so far, which is the number of the last one. */
  get count(): number {
    return this.#count;
  }

  /** Counts a change that is published now. */
  add(now: number): this {
    this.#count += 1;
    this.#recent.push({ change: this.#count, at: now });
    this.#prune(now);
    return this;
  }

  /** Gets the number of changes that had been published by a time. */
  countUntil(at: number): number {
    const last = this.#recent.findLast((published) => published.at <= at);
    return last?.change ?? this.#pruned;
  }

  #prune(now: number): void {
    const kept = this.#recent
      .findIndex((published) => now - published.at <= this.#retentionMs);
    if (kept <= 0) return;
    this.#pruned = this.#recent[kept - 1].change;
    this.#recent = this.#recent.slice(kept);
  }
}
