/** The runs in progress, by batch and item. */
import type { BatchItem, BatchRecord } from "../../core/batches/mod.ts";
import type { ItemRun } from "./item_run.ts";

/** Gets the map key of an item of a batch. */
export function itemKeyOf(batch: string, item: string): string {
  return `${batch}/${item}`;
}

/** Indexes the runs in progress by batch and item. */
export class RunTable {
  readonly #runs = new Map<string, ItemRun>();

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

  add(run: ItemRun): this {
    this.#runs.set(itemKeyOf(run.record.spec.id, run.item.id), run);
    return this;
  }

  remove(run: ItemRun): this {
    this.#runs.delete(itemKeyOf(run.record.spec.id, run.item.id));
    return this;
  }

  /** Cancels and removes all runs. */
  cancelAll(): this {
    for (const run of this.#runs.values()) run.cancel();
    this.#runs.clear();
    return this;
  }

  /** Counts runs by target ID. */
  countByTarget(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { target } of this.#runs.values()) {
      counts.set(target.id, (counts.get(target.id) ?? 0) + 1);
    }
    return counts;
  }

  /** Gets the IDs of the targets that run items of the same group. */
  getTargetsOfGroup({ spec }: BatchRecord, item: BatchItem): Set<string> {
    const targets = new Set<string>();
    for (const other of spec.items) {
      if (other.group !== item.group) continue;
      const run = this.get(spec.id, other.id);
      if (run !== undefined) targets.add(run.target.id);
    }
    return targets;
  }
}
