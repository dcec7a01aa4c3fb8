/** Counts the items that groups still lack. */
import type { BatchRecord, WaitingItem } from "../../core/batches/mod.ts";

/** Counts them once per record of a batch. */
export class MissingItems {
  readonly #counts = new Map<BatchRecord, Map<string, number>>();

  /** Gets the number of items without a result in an item's group. */
  countOf({ record, item }: WaitingItem): number {
    let counts = this.#counts.get(record);
    if (counts === undefined) {
      counts = new Map();
      for (const { group } of record.pendingItems) {
        counts.set(group, (counts.get(group) ?? 0) + 1);
      }
      this.#counts.set(record, counts);
    }
    return counts.get(item.group) ?? 0;
  }
}
