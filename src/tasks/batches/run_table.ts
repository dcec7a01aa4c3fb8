/** The runs in progress, by batch and item. */
import type { ItemRun } from "./item_run.ts";

/** Gets the map key of an item of a batch. */
export function itemKeyOf(batch: string, item: string): string {
  return `${batch}/${item}`;
}

/** Indexes the runs in progress by batch and item. */
export class RunTable {
  readonly #runs = new Map<string, ItemRun>();
  readonly #counts = new Map<string, number>();

  get size(): number {
    return this.#runs.size;
  }

  /**
   * Gets a copy of the current runs, so that callers may remove runs while
   * iterating.
   */
  get all(): readonly ItemRun[] {
    return [...this.#runs.values()];
  }

  /** Gets whether an item has a run in progress. */
  has(batch: string, item: string): boolean {
    return this.#runs.has(itemKeyOf(batch, item));
  }

  get(batch: string, item: string): ItemRun | undefined {
    return this.#runs.get(itemKeyOf(batch, item));
  }

  /** Adds a run; an item has one run at a time. */
  add(run: ItemRun): this {
    this.#runs.set(itemKeyOf(run.record.spec.id, run.item.id), run);
    this.#counts.set(run.target.id, this.countAt(run.target.id) + 1);
    return this;
  }

  /** Removes a run; has no effect if it is not in the table. */
  remove(run: ItemRun): this {
    const key = itemKeyOf(run.record.spec.id, run.item.id);
    if (this.#runs.get(key) !== run) return this;
    this.#runs.delete(key);
    const count = this.countAt(run.target.id) - 1;
    if (count > 0) this.#counts.set(run.target.id, count);
    else this.#counts.delete(run.target.id);
    return this;
  }

  /** Cancels and removes all runs. */
  cancelAll(): this {
    for (const run of this.#runs.values()) run.cancel();
    this.#runs.clear();
    this.#counts.clear();
    return this;
  }

  /** Gets the number of runs at a target. */
  countAt(target: string): number {
    return this.#counts.get(target) ?? 0;
  }

  /** Gets a copy of the numbers of runs by target ID. */
  countByTarget(): Map<string, number> {
    return new Map(this.#counts);
  }
}
