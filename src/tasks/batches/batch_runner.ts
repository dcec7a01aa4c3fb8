/** Runs the items of open batches at targets while this replica leads. */
import {
  type BatchItem,
  type BatchRecord,
  type BatchResult,
  type BatchState,
  DemandMeter,
  type ItemProgress,
  ItemTracker,
  orderItems,
  type PartialTextRecord,
  PendingLoads,
  type ResultRecord,
  ResultState,
  type ServiceDemand,
  TargetPace,
  type WaitingItem,
} from "../../core/batches/mod.ts";
import {
  type LoadedVersion,
  type TargetRegistry,
  type TargetReport,
  TargetState,
} from "../../core/registry/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import { type EnginePort, RunFailure } from "./engine_port.ts";
import { ItemPlacer } from "./item_placer.ts";
import { ItemRun, type ItemRunListener } from "./item_run.ts";
import {
  ItemScorer,
  type ScoredItem,
  type ScoringPort,
} from "./item_scorer.ts";
import { itemKeyOf, RunTable } from "./run_table.ts";

/** Options of {@link BatchRunner}. */
export interface BatchRunnerOptions {
  /** Gets the replicated state of the ledger. */
  readonly state: () => BatchState;
  readonly registry: TargetRegistry;
  readonly engines: EnginePort;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly dataCentre: string;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
  /**
   * Gets whether this replica leads, holds its lease and has applied all
   * committed entries.
   */
  readonly canRunItems: () => boolean;
  /** Sends scoring calls. */
  readonly scoring: ScoringPort;
  /** Called when a target has said that it leaves. */
  readonly onTargetLeaving: (target: TargetReport) => void;
  /** Writes a result to the ledger. */
  readonly storeResult: (record: ResultRecord) => void;
  /** Writes the end of a complete text, which still needs its score. */
  readonly storeCompleteText: (record: PartialTextRecord) => void;
  /** Writes the partial texts of runs in progress to the ledger. */
  readonly storePartialTexts: (records: readonly PartialTextRecord[]) => void;
}

const TICK_INTERVAL_MS = 50;
/**
 * Silence timeout of a run with fewer than {@link MIN_EVENTS_FOR_PACE} events.
 */
const FIRST_EVENT_TIMEOUT_MS = 1_000;
/** Lower bound of the silence timeout between two events. */
const SILENCE_TIMEOUT_MS = 600;
/** Silence timeout while the target loads weights of the item's model. */
const LOADING_SILENCE_TIMEOUT_MS = 3_000;
/** Time for which a target gets no items after it refused one. */
const REFUSAL_BACKOFF_MS = 150;
/** Interval between writes of the partial texts of long runs. */
const STORE_INTERVAL_MS = 500;
/** Age from which the partial text of a run is stored. */
const LONG_RUN_MS = 500;
/** Maximum number of items sent to targets in one round. */
const MAX_PLACED_PER_ROUND = 64;
/** Silence timeout between two events, as a multiple of their median time. */
const SILENCE_TIMEOUT_EVENTS = 8;
/** Maximum number of runs moved off slow targets in one round. */
const MAX_MOVED_PER_ROUND = 12;
/** Number of events of a run from which its pace is taken into account. */
const MIN_EVENTS_FOR_PACE = 3;

/**
 * Places items on targets, moves runs off silent or slow targets and stores the
 * results. Runs only on the ledger's leader.
 */
export class BatchRunner implements ItemRunListener {
  readonly #options: BatchRunnerOptions;
  readonly #runs = new RunTable();
  /** Keys of the items whose results are being written to the ledger. */
  readonly #pendingResults = new Set<string>();
  readonly #itemTracker = new ItemTracker();
  readonly #demandMeter = new DemandMeter();
  readonly #targetPace = new TargetPace();
  readonly #loads = new PendingLoads();
  readonly #scorer: ItemScorer;
  #timer: NodeJS.Timeout | undefined;
  #isPlacementScheduled = false;
  /** Time at which partial texts were last written. */
  #storedAt = -Infinity;

  /** Creates a stopped runner. */
  constructor(options: BatchRunnerOptions) {
    this.#options = options;
    const { scoring, state, registry, logger, metrics, dataCentre } = options;
    this.#scorer = new ItemScorer({
      port: scoring,
      state,
      registry,
      logger,
      metrics,
      dataCentre,
      isBeingStored: (key) => this.#pendingResults.has(key),
      onTargetLeaving: options.onTargetLeaving,
      onEnded: (scored, score) => this.#onScored(scored, score),
    });
  }

  /** Starts placing items; has no effect if already started. */
  start(): this {
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
    this.#pendingResults.clear();
    this.#itemTracker.clear();
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
      this.#itemTracker.savePartialText(run.item, run.text);
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
    this.#pendingResults.delete(itemKeyOf(batch, item));
    return this;
  }

  /** Drops the state of removed targets and schedules a placement round. */
  onTargetsChanged(): this {
    const { registry, engines } = this.#options;
    const present = registry.all.map(({ report }) => report)
      .filter(({ state }) => state !== TargetState.Gone);
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

  /** Records the time between two events, in milliseconds. */
  onEventGap(run: ItemRun, gapMs: number): void {
    this.#targetPace.onEventGap(run.target.id, gapMs, this.#options.now());
  }

  /** Passes on that a target leaves. */
  onTargetLeaving({ target }: ItemRun): void {
    this.#options.onTargetLeaving(target);
  }

  /** Stores the result of a completed run. */
  onCompleted(run: ItemRun): void {
    const { metrics, now } = this.#options;
    metrics.timing("items.duration", now() - run.startedAt);
    this.#targetPace.onCompleted(run.target.id);
    this.#runs.remove(run);
    if (run.item.scoring === undefined) this.#storeCompleted(run);
    else this.#storeScorableText(run);
    this.schedulePlacement();
  }

  /** Keeps the text of a failed run and decides whether the item is retried. */
  onFailed(run: ItemRun, failure: RunFailure, detail: string): void {
    const { logger, now } = this.#options;
    this.#runs.remove(run);
    this.#itemTracker.savePartialText(run.item, run.text);
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
      this.#targetPace.avoid(
        run.target.id,
        this.#options.now() + REFUSAL_BACKOFF_MS,
      );
    },
    misdirected: (run) => {
      this.#targetPace.onFailure(run.target.id, this.#options.now());
    },
    otherVersion: (run, progress) => {
      progress.excludedTargets.add(run.target.id);
      this.#itemTracker.backOff(run.item, this.#options.now());
    },
    failed: (run, progress) => {
      progress.failedRuns += 1;
      progress.excludedTargets.add(run.target.id);
      if (progress.failedRuns >= run.record.spec.maxAttempts) {
        this.#abandon(run);
      }
    },
    impossible: (run) => this.#abandon(run),
    broken: (run, progress) => {
      progress.excludedTargets.add(run.target.id);
      this.#targetPace.onFailure(run.target.id, this.#options.now());
      this.#itemTracker.backOff(run.item, this.#options.now());
    },
  };

  /** Stores the result of a scored item; without a score it is abandoned. */
  #onScored({ record, item }: ScoredItem, score: string | undefined): void {
    const stored = record.getPartialText(item.id);
    if (stored === undefined) return;
    const { versions, lastId } = stored;
    const state = score === undefined
      ? ResultState.Abandoned
      : ResultState.Completed;
    const result = { id: item.id, state, text: "", versions };
    this.#storeResult(
      record,
      score === undefined ? result : { ...result, score },
      lastId,
    );
  }

  #abandon(run: ItemRun): void {
    const { id } = run.item;
    const { text, versions } = run.text;
    this.#storeResult(run.record, {
      id,
      state: ResultState.Abandoned,
      text,
      versions,
    });
  }

  /**
   * Stores a result.
   * @param after - Events of the text that are already stored.
   */
  #storeResult(record: BatchRecord, result: BatchResult, after = 0): void {
    const batch = record.spec.id;
    this.#pendingResults.add(itemKeyOf(batch, result.id));
    this.#options.storeResult(
      after === 0 ? { batch, result } : { batch, result, after },
    );
  }

  /** Stores the rest of the text of a run, which is scored afterwards. */
  #storeScorableText({ record, item, text, storedEventId }: ItemRun): void {
    this.#storeCompleteText(record, item, {
      after: storedEventId,
      pieces: text.piecesAfter(storedEventId),
      versions: text.versions,
    });
  }

  #storeCompleteText(
    record: BatchRecord,
    item: BatchItem,
    text: Pick<PartialTextRecord, "after" | "pieces" | "versions">,
  ): void {
    const batch = record.spec.id;
    this.#pendingResults.add(itemKeyOf(batch, item.id));
    this.#options.storeCompleteText({
      batch,
      item: item.id,
      ...text,
      isComplete: true,
    });
  }

  /**
   * Stores the result of a completed run. If part of the text is already
   * stored, only the rest is written.
   */
  #storeCompleted(
    { record, item, text, storedEventId }: ItemRun,
  ): void {
    const { versions } = text;
    const result = { id: item.id, state: ResultState.Completed, versions };
    const rest = text.piecesAfter(storedEventId).join("\n");
    const writesFullText = storedEventId === 0 ||
      (rest === "" && storedEventId < text.lastId);
    if (writesFullText) {
      this.#storeResult(record, { ...result, text: text.text });
      return;
    }
    this.#storeResult(record, { ...result, text: rest }, storedEventId);
  }

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
      const { versions } = run.text;
      const batch = run.record.spec.id;
      records.push({ batch, item: id, after, pieces, versions });
    }
    if (records.length > 0) this.#options.storePartialTexts(records);
  }

  #tick(): void {
    if (!this.#options.canRunItems()) return;
    this.#sampleDemand();
    this.#moveSilentRuns();
    this.#moveSlowRuns();
    this.#storeLongRuns();
    this.#abandonOverdue();
    this.#itemTracker.forget(this.#options.state().all);
    this.#scorer.run();
    this.#placeItems();
  }

  /** Moves runs that have had no event for too long to other targets. */
  #moveSilentRuns(): void {
    const now = this.#options.now();
    for (const run of this.#runs.all) {
      const limitMs = this.#silenceTimeoutMs(run, now);
      if (run.silenceMs > limitMs) {
        this.#moveRun(run, `No event for ${Math.round(run.silenceMs)} ms`);
        this.#targetPace.onFailure(run.target.id, now);
      }
    }
  }

  /** Moves runs off slow targets as long as other targets have free slots. */
  #moveSlowRuns(): void {
    const now = this.#options.now();
    const placer = this.#createPlacer(now);
    let moved = 0;
    for (const run of this.#runs.all) {
      const { id } = run.target;
      const hasEnoughEvents = run.events >= MIN_EVENTS_FOR_PACE;
      if (!hasEnoughEvents || !this.#targetPace.isSlow(id, now)) continue;
      if (moved >= MAX_MOVED_PER_ROUND) return;
      const waiting = { record: run.record, item: run.item };
      const chosen = placer.choose(waiting, run.text);
      if (chosen === undefined || chosen.id === id) continue;
      placer.reserveSlot(chosen.id);
      this.#moveRun(
        run,
        `Target takes ${
          Math.round(this.#targetPace.paceMs(id, now))
        } ms per event`,
      );
      moved += 1;
    }
  }

  #silenceTimeoutMs(run: ItemRun, now: number): number {
    const { model } = run.item;
    if (this.#loads.isLoading(run.target, model, now)) {
      return LOADING_SILENCE_TIMEOUT_MS;
    }
    if (run.events < MIN_EVENTS_FOR_PACE) return FIRST_EVENT_TIMEOUT_MS;
    const medianMs = this.#targetPace.medianPaceMs(now);
    return Math.max(SILENCE_TIMEOUT_MS, medianMs * SILENCE_TIMEOUT_EVENTS);
  }

  #moveRun(run: ItemRun, reason: string): void {
    run.cancel();
    this.#runs.remove(run);
    this.#itemTracker.savePartialText(run.item, run.text);
    this.#itemTracker.progressOf(run.item).excludedTargets.add(run.target.id);
    this.#options.metrics.count("items.moved");
    this.#options.logger.event("itemMoved", {
      batch: run.record.spec.id,
      item: run.item.id,
      target: run.target.id,
      reason,
      events: run.events,
    });
  }

  #abandonOverdue(): void {
    const wallNow = Date.now();
    for (const record of this.#options.state().all) {
      const { spec } = record;
      if (!record.isOpen || wallNow < spec.acceptedAt + spec.giveUpMs) continue;
      for (const item of record.pendingItems) {
        const key = itemKeyOf(spec.id, item.id);
        if (this.#pendingResults.has(key)) continue;
        const run = this.#runs.get(spec.id, item.id);
        run?.cancel();
        if (run !== undefined) this.#runs.remove(run);
        this.#scorer.cancel(spec.id, item.id);
        this.#storeResult(record, {
          id: item.id,
          state: ResultState.Abandoned,
          text: "",
          versions: [],
        });
      }
    }
  }

  #placeItems(): void {
    const { canRunItems, state } = this.#options;
    if (!canRunItems()) return;
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
    let placed = 0;
    for (const waiting of order) {
      if (placed >= MAX_PLACED_PER_ROUND) break;
      const { record, item } = waiting;
      const isResubmitted = this.#itemTracker.isResubmitted(record, item);
      if (isResubmitted && this.#reuseResult(waiting, all)) continue;
      if (this.#startRun(waiting, placer, all)) placed += 1;
    }
  }

  #isWaiting(record: BatchRecord, item: BatchItem, now: number): boolean {
    const key = itemKeyOf(record.spec.id, item.id);
    if (record.hasResult(item.id) || record.hasCompleteText(item.id)) {
      return false;
    }
    const isRunning = this.#runs.has(record.spec.id, item.id);
    if (isRunning || this.#pendingResults.has(key)) return false;
    return !this.#itemTracker.isBackingOff(item, now);
  }

  #createPlacer(now: number): ItemPlacer {
    const { registry, dataCentre } = this.#options;
    return new ItemPlacer({
      registry,
      runs: this.#runs,
      itemTracker: this.#itemTracker,
      targetPace: this.#targetPace,
      loads: this.#loads,
      dataCentre,
      now,
    });
  }

  /**
   * Reuses the completed result of an item that was resubmitted in another
   * batch, if its versions are allowed. Its score counts for the same scoring
   * call only.
   */
  #reuseResult(
    { record, item }: WaitingItem,
    records: readonly BatchRecord[],
  ): boolean {
    const { minVersion, isSingleVersion, workspace } = record.spec;
    for (const other of records) {
      if (other === record || other.spec.workspace !== workspace) continue;
      if (!other.hasResult(item.id)) continue;
      const result = other.getResult(item.id);
      if (result?.state !== ResultState.Completed) continue;
      const isFresh = result.versions.every((v) => v >= minVersion);
      const isSingle = !isSingleVersion || result.versions.length === 1;
      if (!isFresh || !isSingle || result.versions.length === 0) continue;
      const scoringId = other.getItem(item.id)?.scoring?.id;
      if (scoringId === item.scoring?.id) this.#storeResult(record, result);
      else this.#reuseText(record, item, result);
      return true;
    }
    return false;
  }

  /** Reuses a text whose score, if it has one, is of another call. */
  #reuseText(
    record: BatchRecord,
    item: BatchItem,
    { text, versions }: Pick<BatchResult, "text" | "versions">,
  ): void {
    if (item.scoring !== undefined) {
      const pieces = [text];
      this.#storeCompleteText(record, item, { after: 0, pieces, versions });
      return;
    }
    const state = ResultState.Completed;
    this.#storeResult(record, { id: item.id, state, text, versions });
  }

  #startRun(
    waiting: WaitingItem,
    placer: ItemPlacer,
    records: readonly BatchRecord[],
  ): boolean {
    if (placer.isExhausted(waiting)) return false;
    const { registry, engines, logger } = this.#options;
    const { record, item } = waiting;
    const { minVersion, id: batch } = record.spec;
    const text = this.#itemTracker.resumableTextOf(record, item, records);
    if (text.isComplete) {
      this.#reuseText(record, item, text);
      return true;
    }
    const chosen = placer.choose(waiting, text);
    if (chosen === undefined) return false;
    const target = registry.get(chosen.id)?.report;
    if (target === undefined) return false;
    placer.reserveSlot(target.id);
    this.#options.metrics.count("items.placed");
    logger.event("itemPlaced", {
      batch,
      item: item.id,
      target: target.id,
      resumeAfter: text.lastId,
      version: target.versions[item.model],
      minVersion,
      inFlight: chosen.inFlight,
      paceMs: Math.round(chosen.paceMs),
    });
    const run = new ItemRun({
      record,
      item,
      target,
      text,
      engines,
      listener: this,
      now: this.#options.now,
    });
    if (!run.hasEnded) this.#runs.add(run);
    return true;
  }
}
