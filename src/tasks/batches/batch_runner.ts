/** Runs the items of open batches at the targets, while this replica leads. */
import {
  type BatchItem,
  type BatchRecord,
  type BatchResult,
  type BatchState,
  DemandMeter,
  ItemBook,
  type ItemProgress,
  type KeptRecord,
  LoadBook,
  orderItems,
  type ResultRecord,
  ResultState,
  type ServiceDemand,
  TargetPace,
  type WaitingItem,
} from "../../core/batches/mod.ts";
import {
  type LoadedVersion,
  type TargetRegistry,
  TargetState,
} from "../../core/registry/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import { type EnginePort, RunFailure } from "./engine_port.ts";
import { ItemPlacer } from "./item_placer.ts";
import { ItemRun, type ItemRunListener } from "./item_run.ts";
import { keyOf, RunTable } from "./run_table.ts";

/** Options of {@link BatchRunner}. */
export interface BatchRunnerOptions {
  readonly state: () => BatchState;
  readonly registry: TargetRegistry;
  readonly engines: EnginePort;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly dataCentre: string;
  /** Gets the local clock in milliseconds. */
  readonly now: () => number;
  /** Gets whether this replica leads, has a lease and has the whole state. */
  readonly mayRun: () => boolean;
  /** Stores a result. */
  readonly list: (record: ResultRecord) => void;
  /** Stores the texts of runs that go on. */
  readonly keep: (records: readonly KeptRecord[]) => void;
}

const PUMP_INTERVAL_MS = 50;
/** Silence after which a run before its first event is moved. */
const FIRST_EVENT_MS = 1_000;
/** Silence after which a run between two events is moved. */
const SILENCE_MS = 600;
/** Silence for which a target that loads weights is excused. */
const LOAD_SILENCE_MS = 3_000;
/** Pause after a target refused an item of a model. */
const REFUSED_PAUSE_MS = 150;
/** Time between two stores of the texts of long runs. */
const KEEP_INTERVAL_MS = 500;
/** Time from which a run counts as long. */
const LONG_RUN_MS = 500;
/** Items that may be sent to targets in one round. */
const MAX_PLACED = 64;
/** Events of median pace for which a run may be silent. */
const SILENT_EVENTS = 8;
/** Runs that are moved off slow targets in one round. */
const MAX_MOVED = 12;
/** Events of a run before its pace is judged. */
const JUDGED_EVENTS = 3;

/** Owns the runs of a ledger's leader. */
export class BatchRunner implements ItemRunListener {
  readonly #options: BatchRunnerOptions;
  readonly #runs = new RunTable();
  readonly #listing = new Set<string>();
  readonly #book = new ItemBook();
  readonly #demand = new DemandMeter();
  readonly #pace = new TargetPace();
  readonly #loads = new LoadBook();
  #timer: NodeJS.Timeout | undefined;
  #isPumpDue = false;
  #keptAt = -Infinity;

  /** Creates a runner that does not run yet. */
  constructor(options: BatchRunnerOptions) {
    this.#options = options;
  }

  /** Begins to run items. */
  start(): this {
    this.#timer ??= setInterval(() => this.#tick(), PUMP_INTERVAL_MS);
    this.pump();
    return this;
  }

  /** Ends all runs. */
  stop(): this {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#runs.cancelAll();
    this.#listing.clear();
    this.#book.clear();
    return this;
  }

  /** Takes the means of demand since the last call, by service. */
  takeDemand(): ServiceDemand[] {
    return this.#demand.take();
  }

  #sampleDemand(): void {
    const { metrics, state } = this.#options;
    const open = this.#demand.sample(state().all);
    metrics.gauge("items.running", this.#runs.size);
    metrics.gauge("items.waiting", Math.max(0, open - this.#runs.size));
  }

  /** Looks for items to run, soon. */
  pump(): void {
    if (this.#isPumpDue || this.#timer === undefined) return;
    this.#isPumpDue = true;
    setImmediate(() => {
      this.#isPumpDue = false;
      if (this.#timer !== undefined) this.#place();
    });
  }

  /** Ends the runs of a batch that has ended. */
  onEnded(batch: string): this {
    for (const run of this.#runs.all) {
      if (run.record.spec.id !== batch) continue;
      this.#book.keep(run.item, run.text);
      run.cancel();
      this.#runs.remove(run);
    }
    this.pump();
    return this;
  }

  /** Records that a result has been listed. */
  onListed(batch: string, item: string): this {
    this.#listing.delete(keyOf(batch, item));
    return this;
  }

  /** Moves runs off targets that are gone, and looks for new ones. */
  onTargetsChanged(): this {
    const { registry, engines } = this.#options;
    const known = registry.all
      .filter(({ report }) => report.state !== TargetState.Gone);
    this.#pace.keepOnly(new Set(known.map(({ report }) => report.id)));
    engines.keepOnly(new Set(known.map(({ report }) => report.address)));
    this.pump();
    return this;
  }

  /** Sends a target no items of a model while it loads the model's weights. */
  onLoading(loading: LoadedVersion): void {
    this.#loads.begin(loading, this.#options.now());
  }

  /** Takes the time between two events. */
  onGap(run: ItemRun, gapMs: number): void {
    this.#pace.onGap(run.target.id, gapMs, this.#options.now());
  }

  /** Takes the end of a whole run. */
  onWhole(run: ItemRun): void {
    const { metrics, now } = this.#options;
    metrics.timing("items.duration", now() - run.startedAt);
    this.#pace.onWhole(run.target.id);
    this.#runs.remove(run);
    this.#listWhole(run);
    this.pump();
  }

  /** Takes the end of a run without its whole output. */
  onBroken(run: ItemRun, failure: RunFailure, detail: string): void {
    const { logger, now } = this.#options;
    this.#runs.remove(run);
    this.#book.keep(run.item, run.text);
    const progress = this.#book.of(run.item);
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
    this.#onFailure[failure](run, progress);
    this.pump();
  }

  readonly #onFailure: Readonly<
    Record<RunFailure, (run: ItemRun, progress: ItemProgress) => void>
  > = {
    refused: (run) => {
      this.#pace.avoid(run.target.id, this.#options.now() + REFUSED_PAUSE_MS);
    },
    misdirected: (run) => {
      this.#pace.onFailure(run.target.id, this.#options.now());
    },
    otherVersion: (run, progress) => {
      progress.excluded.add(run.target.id);
      this.#book.pause(run.item, this.#options.now());
    },
    failed: (run, progress) => {
      progress.failed += 1;
      progress.excluded.add(run.target.id);
      if (progress.failed >= run.record.spec.maxAttempts) this.#abandon(run);
    },
    impossible: (run) => this.#abandon(run),
    broken: (run, progress) => {
      progress.excluded.add(run.target.id);
      this.#pace.onFailure(run.target.id, this.#options.now());
      this.#book.pause(run.item, this.#options.now());
    },
  };

  #abandon(run: ItemRun): void {
    const { id } = run.item;
    const { text, versions } = run.text;
    this.#list(run.record, {
      id,
      state: ResultState.Abandoned,
      text,
      versions,
    });
  }

  #list(record: BatchRecord, result: BatchResult): void {
    const batch = record.spec.id;
    this.#listing.add(keyOf(batch, result.id));
    this.#options.list({ batch, result });
  }

  /** Of a text that is stored in part only the rest is stored. */
  #listWhole({ record, item, text, keptId }: ItemRun): void {
    const { versions } = text;
    const result = { id: item.id, state: ResultState.Completed, versions };
    const rest = text.piecesAfter(keptId).join("\n");
    const isWhole = keptId === 0 || (rest === "" && keptId < text.lastId);
    if (isWhole) {
      this.#list(record, { ...result, text: text.text });
      return;
    }
    const batch = record.spec.id;
    this.#listing.add(keyOf(batch, item.id));
    this.#options.list({
      batch,
      result: { ...result, text: rest },
      after: keptId,
    });
  }

  /** Long runs are stored as they go, so that a later leader goes on. */
  #keepLong(): void {
    const now = this.#options.now();
    if (now - this.#keptAt < KEEP_INTERVAL_MS) return;
    this.#keptAt = now;
    const records: KeptRecord[] = [];
    for (const run of this.#runs.all) {
      if (now - run.startedAt < LONG_RUN_MS) continue;
      const { id } = run.item;
      const after = run.keptId;
      const pieces = run.text.piecesAfter(after);
      if (pieces.length === 0) continue;
      run.keptId = run.text.lastId;
      const { versions } = run.text;
      const batch = run.record.spec.id;
      records.push({ batch, item: id, after, pieces, versions });
    }
    if (records.length > 0) this.#options.keep(records);
  }

  #tick(): void {
    if (!this.#options.mayRun()) return;
    this.#sampleDemand();
    this.#moveStalled();
    this.#moveSlow();
    this.#keepLong();
    this.#abandonOverdue();
    this.#book.forget(this.#options.state().all);
    this.#place();
  }

  /** A silent target, or one that has turned slow, gives its runs away. */
  #moveStalled(): void {
    const now = this.#options.now();
    for (const run of this.#runs.all) {
      const limitMs = this.#silenceLimitMs(run, now);
      if (run.silentMs > limitMs) {
        this.#move(run, `Silent for ${Math.round(run.silentMs)} ms`);
        this.#pace.onFailure(run.target.id, now);
      }
    }
  }

  /** Runs leave a target that has turned slow as far as others have room. */
  #moveSlow(): void {
    const now = this.#options.now();
    const placer = this.#createPlacer(now);
    let moved = 0;
    for (const run of this.#runs.all) {
      const { id } = run.target;
      const isJudged = run.events >= JUDGED_EVENTS;
      if (!isJudged || !this.#pace.isSlow(id, now)) continue;
      if (moved >= MAX_MOVED) return;
      const waiting = { record: run.record, item: run.item };
      const chosen = placer.choose(waiting, run.text);
      if (chosen === undefined || chosen.id === id) continue;
      placer.take(chosen.id);
      this.#move(run, `Pace ${Math.round(this.#pace.paceMs(id, now))} ms`);
      moved += 1;
    }
  }

  #silenceLimitMs(run: ItemRun, now: number): number {
    const { model } = run.item;
    if (this.#loads.isLoading(run.target, model, now)) return LOAD_SILENCE_MS;
    if (run.events < JUDGED_EVENTS) return FIRST_EVENT_MS;
    const medianMs = this.#pace.medianMs(now);
    return Math.max(SILENCE_MS, medianMs * SILENT_EVENTS);
  }

  #move(run: ItemRun, reason: string): void {
    run.cancel();
    this.#runs.remove(run);
    this.#book.keep(run.item, run.text);
    this.#book.of(run.item).excluded.add(run.target.id);
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
    const wall = Date.now();
    for (const record of this.#options.state().all) {
      const { spec } = record;
      if (!record.isOpen || wall < spec.acceptedAt + spec.giveUpMs) continue;
      for (const item of record.unlisted) {
        const key = keyOf(spec.id, item.id);
        if (this.#listing.has(key)) continue;
        const run = this.#runs.get(spec.id, item.id);
        run?.cancel();
        if (run !== undefined) this.#runs.remove(run);
        this.#list(record, {
          id: item.id,
          state: ResultState.Abandoned,
          text: "",
          versions: [],
        });
      }
    }
  }

  #place(): void {
    const { mayRun, state } = this.#options;
    if (!mayRun()) return;
    const { all } = state();
    this.#book.note(all);
    const records = all.filter((record) => record.isOpen);
    if (records.length === 0) return;
    const now = this.#options.now();
    const order = orderItems({
      records,
      now: Date.now(),
      isWaiting: (record, item) => this.#isWaiting(record, item, now),
      isCarried: (record, item) => this.#book.isCarried(record, item),
    });
    const placer = this.#createPlacer(now);
    let placed = 0;
    for (const waiting of order) {
      if (placed >= MAX_PLACED) break;
      const { record, item } = waiting;
      const isCarried = this.#book.isCarried(record, item);
      if (isCarried && this.#reuse(waiting, all)) continue;
      if (this.#run(waiting, placer, all)) placed += 1;
    }
  }

  #isWaiting(record: BatchRecord, item: BatchItem, now: number): boolean {
    const key = keyOf(record.spec.id, item.id);
    if (record.isListed(item.id)) return false;
    const isRunning = this.#runs.has(record.spec.id, item.id);
    if (isRunning || this.#listing.has(key)) return false;
    return !this.#book.isPaused(item, now);
  }

  #createPlacer(now: number): ItemPlacer {
    const { registry, dataCentre } = this.#options;
    return new ItemPlacer({
      registry,
      runs: this.#runs,
      book: this.#book,
      pace: this.#pace,
      loads: this.#loads,
      dataCentre,
      now,
    });
  }

  /** An item that came again is listed with the text of its former batch. */
  #reuse(
    { record, item }: WaitingItem,
    records: readonly BatchRecord[],
  ): boolean {
    const { minVersion, isSingleVersion, workspace } = record.spec;
    for (const other of records) {
      if (other === record || other.spec.workspace !== workspace) continue;
      if (!other.isListed(item.id)) continue;
      const result = other.getResult(item.id);
      if (result?.state !== ResultState.Completed) continue;
      const isFresh = result.versions.every((v) => v >= minVersion);
      const isSingle = !isSingleVersion || result.versions.length === 1;
      if (!isFresh || !isSingle || result.versions.length === 0) continue;
      this.#list(record, result);
      return true;
    }
    return false;
  }

  #run(
    waiting: WaitingItem,
    placer: ItemPlacer,
    records: readonly BatchRecord[],
  ): boolean {
    if (placer.isFull(waiting)) return false;
    const { registry, engines, logger } = this.#options;
    const { record, item } = waiting;
    const { minVersion, id: batch } = record.spec;
    const text = this.#book.textOf(record, item, records);
    const chosen = placer.choose(waiting, text);
    if (chosen === undefined) return false;
    const target = registry.get(chosen.id)?.report;
    if (target === undefined) return false;
    placer.take(target.id);
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
    if (!run.isOver) this.#runs.add(run);
    return true;
  }
}
