/** The runs that go on, by batch and item. */
import type { BatchItem, BatchRecord } from "../../core/batches/mod.ts";
import type { ItemRun } from "./item_run.ts";

/** Gets what names an item of a batch. */
export function keyOf(batch: string, item: string): string {
  return `${batch}/${item}`;
}

/** Keeps the runs that go on. */
export class RunTable {
  readonly #runs = new Map<string, ItemRun>();

  /** Gets the number of runs. */
  get size(): number {
    return this.#runs.size;
  }

  /** Gets the runs as they are now; the list does not change with them. */
  get all(): readonly ItemRun[] {
    return [...this.#runs.values()];
  }

  /** Gets whether an item runs. */
  has(batch: string, item: string): boolean {
    return this.#runs.has(keyOf(batch, item));
  }

  /** Gets the run of an item. */
  get(batch: string, item: string): ItemRun | undefined {
    return this.#runs.get(keyOf(batch, item));
  }

  /** Adds a run. */
  add(run: ItemRun): this {
    this.#runs.set(keyOf(run.record.spec.id, run.item.id), run);
    return this;
  }

  /** Removes a run that has ended. */
  remove(run: ItemRun): this {
    this.#runs.delete(keyOf(run.record.spec.id, run.item.id));
    return this;
  }

  /** Cancels and removes all runs. */
  cancelAll(): this {
    for (const run of this.#runs.values()) run.cancel();
    this.#runs.clear();
    return this;
  }

  /** Counts the runs of each target. */
  countByTarget(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { target } of this.#runs.values()) {
      counts.set(target.id, (counts.get(target.id) ?? 0) + 1);
    }
    return counts;
  }

  /** Gets the targets that run other items of an item's group. */
  targetsOfGroup({ spec }: BatchRecord, item: BatchItem): Set<string> {
    const targets = new Set<string>();
    for (const other of spec.items) {
      if (other.group !== item.group) continue;
      const run = this.get(spec.id, other.id);
      if (run !== undefined) targets.add(run.target.id);
    }
    return targets;
  }
}
