/** Places the waiting items of open batches in rounds. */
import {
  type BatchItem,
  type BatchRecord,
  type BatchState,
  type ItemTracker,
  orderItems,
  type StartPacer,
} from "../../core/batches/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { TargetLimiter } from "../fleet/target_limiter.ts";
import type { ItemPlacer } from "./item_placer.ts";
import type { ItemStarter } from "./item_starter.ts";
import type { ResultWriter } from "./result_writer.ts";
import { itemKeyOf, type RunTable } from "./run_table.ts";

/** Options of {@link PlacementScheduler}. */
export interface PlacementSchedulerOptions {
  /** Gets the replicated state of the ledger. */
  readonly state: () => BatchState;
  readonly runs: RunTable;
  readonly itemTracker: ItemTracker;
  readonly results: ResultWriter;
  readonly starter: ItemStarter;
  readonly pacer: StartPacer;
  readonly limiter: TargetLimiter;
  readonly logger: Logger;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Gets whether the runner is started. */
  readonly isStarted: () => boolean;
  /** Gets whether this replica may run items. */
  readonly canRunItems: () => boolean;
  /** Creates a placer for one round at a time. */
  readonly createPlacer: (now: number) => ItemPlacer;
}

/** Maximum number of items sent to targets in one round. */
const MAX_PLACED_PER_ROUND = 64;

/** Runs placement rounds; requests in one turn of the event loop share one. */
export class PlacementScheduler {
  readonly #options: PlacementSchedulerOptions;
  #isScheduled = false;

  constructor(options: PlacementSchedulerOptions) {
    this.#options = options;
  }

  /**
   * Schedules a placement round for the next turn of the event loop; several
   * requests before it share one round.
   */
  schedule(): void {
    const { isStarted } = this.#options;
    if (this.#isScheduled || !isStarted()) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      if (isStarted()) this.placeItems();
    });
  }

  /** Starts waiting items in their order, as far as targets and pace allow. */
  placeItems(): void {
    const { canRunItems, state, pacer, itemTracker, results, starter } =
      this.#options;
    if (!canRunItems() || pacer.left === 0) return;
    const { all } = state();
    itemTracker.indexFirstBatches(all);
    const records = all.filter((record) => record.isOpen);
    if (records.length === 0) return;
    const now = this.#options.now();
    const order = orderItems({
      records,
      now: Date.now(),
      isWaiting: (record, item) => this.#isWaiting(record, item, now),
      isResubmitted: (record, item) =>
        itemTracker.isResubmitted({ record, item }),
    });
    const placer = this.#options.createPlacer(now);
    const maxPlaced = Math.min(MAX_PLACED_PER_ROUND, pacer.left);
    let placed = 0;
    for (const waiting of order) {
      if (placed >= maxPlaced) break;
      const isResubmitted = itemTracker.isResubmitted(waiting);
      if (isResubmitted && results.reuseResult(waiting, all)) continue;
      if (starter.start(waiting, placer, all)) placed += 1;
    }
    pacer.use(placed);
    this.#fetchPermits(placer, order.length - placed);
  }

  /** Fetches permits of limited targets for items that could not be placed. */
  #fetchPermits(placer: ItemPlacer, waiting: number): void {
    const { limiter, logger } = this.#options;
    limiter.fetch(placer.limitedTargets, waiting)
      .then((hasCome) => hasCome && this.schedule())
      .catch((err) => logger.error(err));
  }

  #isWaiting(record: BatchRecord, item: BatchItem, now: number): boolean {
    const { runs, results, itemTracker } = this.#options;
    const key = itemKeyOf(record.spec.id, item.id);
    if (record.hasResult(item.id) || record.hasCompleteText(item.id)) {
      return false;
    }
    const isRunning = runs.has(record.spec.id, item.id);
    if (isRunning || results.isPending(key)) return false;
    return !itemTracker.isBackingOff({ record, item }, now);
  }
}
