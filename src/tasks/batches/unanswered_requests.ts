/** Cancels what might be delivered late once the lease is lost. */
import type { ItemTracker } from "../../core/batches/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { ItemRun } from "./item_run.ts";
import type { ItemScorer } from "./item_scorer.ts";
import type { RunTable } from "./run_table.ts";

/** Options of {@link UnansweredRequests}. */
export interface UnansweredRequestsOptions {
  readonly runs: RunTable;
  readonly scorer: ItemScorer;
  readonly itemTracker: ItemTracker;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Gets whether this replica leads under its lease. */
  readonly holdsLease: () => boolean;
}

/**
 * Ticks without a lease after which requests are cancelled. At the first one
 * after a stall, responses that renew the lease may wait to be read.
 */
const LOST_TICKS = 2;

/**
 * Cancels the requests without a response while the lease is lost: the network
 * may hold them up and deliver them when the next leader has seen their batch
 * end. A response shows that its request was delivered, so its run
 * goes on: the lease may come back, and the next leader begins at its events.
 */
export class UnansweredRequests {
  readonly #options: UnansweredRequestsOptions;
  #lostTicks = 0;

  constructor(options: UnansweredRequestsOptions) {
    this.#options = options;
  }

  /** Looks at each tick whether the lease is held. */
  onTick(): void {
    const { runs, scorer, holdsLease } = this.#options;
    this.#lostTicks = holdsLease() ? 0 : this.#lostTicks + 1;
    if (this.#lostTicks < LOST_TICKS) return;
    for (const run of runs.all) {
      if (!run.isAnswered) this.#cancel(run);
    }
    scorer.cancelCalls();
  }

  #cancel(run: ItemRun): void {
    const { runs, itemTracker, logger, metrics, now } = this.#options;
    run.cancel();
    runs.remove(run);
    itemTracker.savePartialText(run, run.text);
    metrics.count("items.cancelled");
    logger.event("itemCancelled", {
      batch: run.record.spec.id,
      item: run.item.id,
      target: run.target.id,
      ranMs: Math.round(now() - run.startedAt),
    });
  }
}
