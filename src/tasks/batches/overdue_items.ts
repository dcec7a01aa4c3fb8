/** Abandons items that are not complete when their batch gives up. */
import type { BatchRecord, BatchState } from "../../core/batches/mod.ts";
import type { ItemScorer } from "./item_scorer.ts";
import type { ResultWriter } from "./result_writer.ts";
import { itemKeyOf, type RunTable } from "./run_table.ts";

/** Options of {@link OverdueItems}. */
export interface OverdueItemsOptions {
  /** Gets the replicated state of the ledger. */
  readonly state: () => BatchState;
  readonly runs: RunTable;
  readonly results: ResultWriter;
  readonly scorer: ItemScorer;
}

/** Ends the runs and scoring calls of overdue items. */
export class OverdueItems {
  readonly #options: OverdueItemsOptions;

  constructor(options: OverdueItemsOptions) {
    this.#options = options;
  }

  /**
   * Abandons the pending items of all overdue batches.
   * @param wallNow - Time, in milliseconds since the Unix epoch.
   */
  abandon(wallNow: number): void {
    for (const record of this.#options.state().all) {
      const { acceptedAt, giveUpMs } = record.spec;
      if (record.isOpen && wallNow >= acceptedAt + giveUpMs) {
        this.#abandonPending(record);
      }
    }
  }

  #abandonPending(record: BatchRecord): void {
    const { runs, results, scorer } = this.#options;
    const { id } = record.spec;
    for (const item of record.pendingItems) {
      if (results.isPending(itemKeyOf(id, item.id))) continue;
      const run = runs.get(id, item.id);
      run?.cancel();
      if (run !== undefined) runs.remove(run);
      scorer.cancel(id, item.id);
      results.abandon(record, item);
    }
  }
}
