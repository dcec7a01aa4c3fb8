/** Tracks which data centres do not answer, as during a network partition. */

/** A target in a data centre. */
export interface LocatedTarget {
  readonly id: string;
  readonly dataCentre: string;
}

/**
 * Number of targets without an answer from which their data centre counts as
 * not answering.
 */
const MIN_UNANSWERED_TARGETS = 2;
/** Time for which a target without an answer counts, in milliseconds. */
const UNANSWERED_WINDOW_MS = 2_000;

/**
 * Records which targets let connections or runs time out. If several of a data
 * centre do and none there answers, the others are most likely cut off as well,
 * and items would wait for one connect timeout after another.
 *
 * Holds an entry for each target that timed out, until its data centre answers
 * or all its entries are outdated.
 *
 * @example
 * ```ts
 * const reach = new DataCentreReach();
 * reach.onUnanswered({ id: "t1", dataCentre: "a" }, 0);
 * reach.onUnanswered({ id: "t2", dataCentre: "a" }, 10);
 * reach.isUnreachable("a", 20); // true
 * ```
 */
export class DataCentreReach {
  /** Times of the last timeouts by data centre and target. */
  readonly #unanswered = new Map<string, Map<string, number>>();

  /** Records that a target has let a connection or a run time out. */
  onUnanswered({ id, dataCentre }: LocatedTarget, now: number): this {
    const targets = this.#unanswered.get(dataCentre) ?? new Map();
    this.#unanswered.set(dataCentre, targets.set(id, now));
    return this;
  }

  /** Records that a target in a data centre has answered. */
  onAnswered(dataCentre: string): this {
    this.#unanswered.delete(dataCentre);
    return this;
  }

  /**
   * Gets whether a data centre does not answer. Its targets are tried again once
   * the last timeouts are older than {@link UNANSWERED_WINDOW_MS}.
   */
  isUnreachable(dataCentre: string, now: number): boolean {
    const targets = this.#unanswered.get(dataCentre);
    if (targets === undefined) return false;
    const recent = [...targets.values()]
      .filter((at) => now - at < UNANSWERED_WINDOW_MS);
    if (recent.length === 0) this.#unanswered.delete(dataCentre);
    return recent.length >= MIN_UNANSWERED_TARGETS;
  }

  /** Clears all timeouts. */
  clear(): this {
    this.#unanswered.clear();
    return this;
  }
}
