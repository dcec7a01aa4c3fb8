/** Runs the items of open batches at targets while this replica leads. */
import {
  type BatchItem,
  type BatchRecord,
  type BatchState,
  DemandMeter,
  type ItemProgress,
  ItemTracker,
  orderItems,
  type PartialTextRecord,
  PendingLoads,
  PromptLocations,
  RunEstimator,
  type ServiceDemand,
  StartPacer,
  TargetPace,
} from "../../core/batches/mod.ts";
import {
  type LoadedVersion,
  type TargetRegistry,
  type TargetReport,
  type TargetSigns,
} from "../../core/registry/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { TargetLimiter } from "../fleet/target_limiter.ts";
import { type EnginePort, RunFailure } from "./engine_port.ts";
import { ItemPlacer } from "./item_placer.ts";
import type { ItemRun, ItemRunListener } from "./item_run.ts";
import { ItemStarter } from "./item_starter.ts";
import { ItemScorer, type ScoringPort } from "./item_scorer.ts";
import { ResultWriter, type ResultWriterOptions } from "./result_writer.ts";
import { RunMover } from "./run_mover.ts";
import { itemKeyOf, RunTable } from "./run_table.ts";

/** Options of {@link BatchRunner}. */
export interface BatchRunnerOptions extends ResultWriterOptions {
  /** Gets the replicated state of the ledger. */
  readonly state: () => BatchState;
  readonly registry: TargetRegistry;
  readonly engines: EnginePort;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly dataCentre: string;
  readonly limiter: TargetLimiter;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
  /**
   * Gets whether this replica leads, holds its lease and has applied all
   * committed entries.
   */
  readonly canRunItems: () => boolean;
  /** Sends scoring calls. */
  readonly scoring: ScoringPort;
  /** Called with what a target says of itself. */
  readonly onSigns: (target: TargetReport, signs: TargetSigns) => void;
  /** Writes the partial texts of runs in progress to the ledger. */
  readonly storePartialTexts: (records: readonly PartialTextRecord[]) => void;
}

const TICK_INTERVAL_MS = 50;
/** Failures after which another process may have the target's identifier. */
const LOST_FAILURES: ReadonlySet<RunFailure> = new Set([
  RunFailure.Broken,
  RunFailure.Unverified,
]);
/** Time for which a target gets no items after it refused one. */
const REFUSAL_BACKOFF_MS = 150;
/** Interval between writes of the partial texts of long runs. */
const STORE_INTERVAL_MS = 500;
/** Age from which the partial text of a run is stored. */
const LONG_RUN_MS = 500;
/** Maximum number of items sent to targets in one round. */
const MAX_PLACED_PER_ROUND = 64;

/**
 * Places items on targets, moves runs off silent or slow targets and stores the
 * results. Runs only on the ledger's leader.
 */
export class BatchRunner implements ItemRunListener {
  readonly #options: BatchRunnerOptions;
  readonly #runs = new RunTable();
  readonly #results: ResultWriter;
  readonly #itemTracker = new ItemTracker();
  readonly #demandMeter = new DemandMeter();
  readonly #targetPace = new TargetPace();
  readonly #estimator = new RunEstimator();
  readonly #prompts = new PromptLocations();
  readonly #loads = new PendingLoads();
  readonly #pacer = new StartPacer(TICK_INTERVAL_MS);
  readonly #scorer: ItemScorer;
  readonly #mover: RunMover;
  readonly #starter: ItemStarter;
  #timer: NodeJS.Timeout | undefined;
  #isPlacementScheduled = false;
  /** Time at which partial texts were last written. */
  #storedAt = -Infinity;

  /** Creates a stopped runner. */
  constructor(options: BatchRunnerOptions) {
    this.#options = options;
    this.#results = new ResultWriter(options);
    const { scoring, state, registry, logger, metrics, dataCentre, limiter } =
      options;
    this.#scorer = new ItemScorer({
      port: scoring,
      state,
      registry,
      logger,
      metrics,
      dataCentre,
      rates: limiter,
      isBeingStored: (key) => this.#results.isPending(key),
      onSigns: options.onSigns,
      onEnded: (scored, score) => this.#results.completeScored(scored, score),
    });
    this.#starter = new ItemStarter({
      ...options,
      itemTracker: this.#itemTracker,
      targetPace: this.#targetPace,
      results: this.#results,
      prompts: this.#prompts,
      runs: this.#runs,
      listener: this,
    });
    this.#mover = new RunMover({
      runs: this.#runs,
      itemTracker: this.#itemTracker,
      targetPace: this.#targetPace,
      estimator: this.#estimator,
      loads: this.#loads,
      logger,
      metrics,
      now: options.now,
      createPlacer: (now) => this.#createPlacer(now),
      restart: (waiting, placer) =>
        this.#starter.start(waiting, placer, state().all),
    });
  }

  /** Starts placing items; has no effect if already started. */
  start(): this {
    if (this.#timer === undefined) this.#pacer.reset();
    this.#timer ??= setInterval(() => this.#tick(), TICK_INTERVAL_MS);
    this.schedulePlacement();
    return this;
  }

  /** Cancels all runs and drops their progress. */
  stop(): this {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#runs.cancelAll();
    this.#scorer.stop();
    this.#results.clear();
    this.#itemTracker.clear();
    this.#prompts.clear();
    return this;
  }

  /** Gets the mean demand of each service since the previous call. */
  takeDemand(): ServiceDemand[] {
    return this.#demandMeter.readAndReset();
  }

  #sampleDemand(): void {
    const { metrics, state } = this.#options;
    const open = this.#demandMeter.sample(state().all);
    metrics.gauge("items.running", this.#runs.size);
    metrics.gauge("items.waiting", Math.max(0, open - this.#runs.size));
  }

  /**
   * Schedules a placement round for the next turn of the event loop; several
   * requests before it share one round.
   */
  schedulePlacement(): void {
    if (this.#isPlacementScheduled || this.#timer === undefined) return;
    this.#isPlacementScheduled = true;
    setImmediate(() => {
      this.#isPlacementScheduled = false;
      if (this.#timer !== undefined) this.#placeItems();
    });
  }

  /** Cancels the runs of a batch that has ended, keeping their texts. */
  onBatchEnded(batch: string): this {
    for (const run of this.#runs.all) {
      if (run.record.spec.id !== batch) continue;
      this.#itemTracker.savePartialText(run, run.text);
      run.cancel();
      this.#runs.remove(run);
    }
    this.#scorer.onBatchEnded(batch);
    this.schedulePlacement();
    return this;
  }

  /** Records that the write of a complete text has been applied. */
  onTextStored(batch: string, item: string): this {
    this.onResultStored(batch, item);
    if (this.#options.canRunItems()) this.#scorer.run();
    return this;
  }

  /** Records that the write of a result has been applied or has failed. */
  onResultStored(batch: string, item: string): this {
    this.#results.onStored(batch, item);
    return this;
  }

  /** Drops the state of removed targets and schedules a placement round. */
  onTargetsChanged(): this {
    const { registry, engines } = this.#options;
    const present = registry.presentReports;
    this.#targetPace.keepOnly(new Set(present.map(({ id }) => id)));
    engines.closeIdleExcept(new Set(present.map(({ address }) => address)));
    this.#scorer.onTargetsChanged(present);
    this.schedulePlacement();
    return this;
  }

  /** Excludes a target from placement of a model while it loads its weights. */
  onLoadStarted(loading: LoadedVersion): void {
    this.#loads.onOrdered(loading, this.#options.now());
  }

  /** Records the time in which a target has read a prompt. */
  onFirstEvent(run: ItemRun, afterMs: number): void {
    const now = this.#options.now();
    this.#prompts.add(run, run.target.id, now);
    if (run.resumedAfter > 0) return;
    const paceMs = this.#targetPace.inherentPaceMs(run.target, now);
    this.#estimator.onFirstEvent(run.record.spec.service, {
      isCached: run.isPromptCached,
      events: afterMs / paceMs,
    });
  }

  /** Records the time between two events, in milliseconds. */
  onEventGap({ target }: ItemRun, gapMs: number): void {
    const runs = Math.max(1, this.#runs.countAt(target.id));
    const load = (runs - 1) / Math.max(1, target.slots);
    const now = this.#options.now();
    this.#targetPace.onEventGap(target, { gapMs, load, runs, now });
  }

  /** Passes on what a target says of itself. */
  onSigns({ target }: ItemRun, signs: TargetSigns): void {
    this.#options.onSigns(target, signs);
  }

  /** Stores the result of a completed run. */
  onCompleted(run: ItemRun): void {
    const { metrics, now } = this.#options;
    metrics.timing("items.duration", now() - run.startedAt);
    this.#targetPace.onCompleted(run.target);
    this.#prompts.add(run, run.target.id, now());
    this.#estimator.onCompleted(run.record.spec.service, {
      expectedTokens: run.item.expectedTokens,
      events: run.text.lastId,
    });
    this.#runs.remove(run);
    this.#results.complete(run);
    this.schedulePlacement();
  }

  /** Keeps the text of a failed run and decides whether the item is retried. */
  onFailed(run: ItemRun, failure: RunFailure, detail: string): void {
    const { logger, limiter, now } = this.#options;
    this.#runs.remove(run);
    if (LOST_FAILURES.has(failure)) limiter.onLost(run.target);
    this.#itemTracker.savePartialText(run, run.text);
    const progress = this.#itemTracker.progressOf(run.item);
    this.#options.metrics.count("items.broken");
    logger.event("itemBroken", {
      batch: run.record.spec.id,
      item: run.item.id,
      target: run.target.id,
      failure,
      detail,
      events: run.events,
      lastEvent: run.text.lastId,
      ranMs: Math.round(now() - run.startedAt),
    });
    this.#failureHandlers[failure](run, progress);
    this.schedulePlacement();
  }

  readonly #failureHandlers: Readonly<
    Record<RunFailure, (run: ItemRun, progress: ItemProgress) => void>
  > = {
    refused: (run) => {
      this.#prompts.remove(run, run.target.id);
      this.#targetPace.avoid(
        run.target,
        this.#options.now() + REFUSAL_BACKOFF_MS,
      );
    },
    misdirected: (run) => {
      this.#prompts.remove(run, run.target.id);
      this.#targetPace.onFailure(run.target, this.#options.now());
    },
    unverified: (run, progress) => {
      progress.unverifiedRuns += 1;
      this.#targetPace.onFailure(run.target, this.#options.now());
    },
    otherVersion: (run, progress) => {
      progress.excludedTargets.add(run.target.id);
      this.#itemTracker.backOff(run.item, this.#options.now());
    },
    failed: (run, progress) => {
      progress.failedRuns += 1;
      progress.excludedTargets.add(run.target.id);
      if (progress.failedRuns >= run.record.spec.maxAttempts) {
        this.#results.abandon(run.record, run.item, run.text);
      }
    },
    impossible: ({ record, item, text }) =>
      this.#results.abandon(record, item, text),
    broken: (run, progress) => {
      progress.excludedTargets.add(run.target.id);
      this.#targetPace.onFailure(run.target, this.#options.now());
      this.#itemTracker.backOff(run.item, this.#options.now());
    },
  };

  /**
   * Stores the partial texts of long runs, so that a new leader can resume them
   * instead of starting over.
   */
  #storeLongRuns(): void {
    const now = this.#options.now();
    if (now - this.#storedAt < STORE_INTERVAL_MS) return;
    this.#storedAt = now;
    const records: PartialTextRecord[] = [];
    for (const run of this.#runs.all) {
      if (now - run.startedAt < LONG_RUN_MS) continue;
      const { id } = run.item;
      const after = run.storedEventId;
      const pieces = run.text.piecesAfter(after);
      if (pieces.length === 0) continue;
      run.storedEventId = run.text.lastId;
      const { versions, software } = run.text;
      const batch = run.record.spec.id;
      records.push({ batch, item: id, after, pieces, versions, software });
    }
    if (records.length > 0) this.#options.storePartialTexts(records);
  }

  #tick(): void {
    const { canRunItems, now } = this.#options;
    this.#pacer.onTick(now());
    if (!canRunItems()) return;
    this.#sampleDemand();
    this.#mover.moveSilentRuns();
    this.#mover.moveSlowRuns();
    this.#storeLongRuns();
    this.#abandonOverdue();
    this.#itemTracker.forget(this.#options.state().all);
    this.#scorer.run();
    this.#placeItems();
  }

  #abandonOverdue(): void {
    const wallNow = Date.now();
    for (const record of this.#options.state().all) {
      const { spec } = record;
      if (!record.isOpen || wallNow < spec.acceptedAt + spec.giveUpMs) continue;
      for (const item of record.pendingItems) {
        const key = itemKeyOf(spec.id, item.id);
        if (this.#results.isPending(key)) continue;
        const run = this.#runs.get(spec.id, item.id);
        run?.cancel();
        if (run !== undefined) this.#runs.remove(run);
        this.#scorer.cancel(spec.id, item.id);
        this.#results.abandon(record, item);
      }
    }
  }

  #placeItems(): void {
    const { canRunItems, state } = this.#options;
    if (!canRunItems() || this.#pacer.left === 0) return;
    const { all } = state();
    this.#itemTracker.indexFirstBatches(all);
    const records = all.filter((record) => record.isOpen);
    if (records.length === 0) return;
    const now = this.#options.now();
    const order = orderItems({
      records,
      now: Date.now(),
      isWaiting: (record, item) => this.#isWaiting(record, item, now),
      isResubmitted: (record, item) =>
        this.#itemTracker.isResubmitted(record, item),
    });
    const placer = this.#createPlacer(now);
    const maxPlaced = Math.min(MAX_PLACED_PER_ROUND, this.#pacer.left);
    let placed = 0;
    for (const waiting of order) {
      if (placed >= maxPlaced) break;
      const { record, item } = waiting;
      const isResubmitted = this.#itemTracker.isResubmitted(record, item);
      if (isResubmitted && this.#results.reuseResult(waiting, all)) continue;
      if (this.#starter.start(waiting, placer, all)) placed += 1;
    }
    this.#pacer.use(placed);
    this.#fetchPermits(placer, order.length - placed);
  }

  /** Fetches permits of limited targets for items that could not be placed. */
  #fetchPermits(placer: ItemPlacer, waiting: number): void {
    const { limiter, logger } = this.#options;
    limiter.fetch(placer.limitedTargets, waiting)
      .then((hasCome) => hasCome && this.schedulePlacement())
      .catch((err) => logger.error(err));
  }

  #isWaiting(record: BatchRecord, item: BatchItem, now: number): boolean {
    const key = itemKeyOf(record.spec.id, item.id);
    if (record.hasResult(item.id) || record.hasCompleteText(item.id)) {
      return false;
    }
    const isRunning = this.#runs.has(record.spec.id, item.id);
    if (isRunning || this.#results.isPending(key)) return false;
    return !this.#itemTracker.isBackingOff(item, now);
  }

  #createPlacer(now: number): ItemPlacer {
    const { registry, dataCentre, limiter } = this.#options;
    return new ItemPlacer({
      registry,
      limiter,
      runs: this.#runs,
      itemTracker: this.#itemTracker,
      targetPace: this.#targetPace,
      estimator: this.#estimator,
      prompts: this.#prompts,
      loads: this.#loads,
      dataCentre,
      now,
      wallNow: Date.now(),
    });
  }
}
