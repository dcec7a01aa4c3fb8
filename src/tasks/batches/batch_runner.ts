/** Runs the items of open batches at targets while this replica leads. */
import {
  type BatchState,
  DemandMeter,
  type KnownPaces,
  type PartialTextRecord,
  type ServiceDemand,
  StartPacer,
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
import { AdmissionGate } from "./admission_gate.ts";
import type { EnginePort, RunFailure } from "./engine_port.ts";
import { ItemPlacer } from "./item_placer.ts";
import type { ItemRun, ItemRunListener } from "./item_run.ts";
import { ItemStarter } from "./item_starter.ts";
import { ItemScorer, type ScoringPort } from "./item_scorer.ts";
import { OverdueItems } from "./overdue_items.ts";
import { PartialTextWriter } from "./partial_text_writer.ts";
import { PlacementScheduler } from "./placement_scheduler.ts";
import { ReachRecorder } from "./reach_recorder.ts";
import { ResultWriter, type ResultWriterOptions } from "./result_writer.ts";
import { RunFailureHandler } from "./run_failure_handler.ts";
import { RunLearner } from "./run_learner.ts";
import { RunMover } from "./run_mover.ts";
import { RunnerState } from "./runner_state.ts";
import { UnansweredRequests } from "./unanswered_requests.ts";

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
  /**
   * Gets whether this replica leads, holds its lease and has applied all entries
   * of earlier leaders, so that no other one can have ended a batch.
   */
  readonly holdsLease: () => boolean;
  /** Sends scoring calls. */
  readonly scoring: ScoringPort;
  /** Called with what a target says of itself. */
  readonly onSigns: (target: TargetReport, signs: TargetSigns) => void;
  /** Writes the partial texts of runs in progress to the ledger. */
  readonly storePartialTexts: (records: readonly PartialTextRecord[]) => void;
}

/** Interval of placement, moves and measurements. */
const TICK_INTERVAL_MS = 50;

/** Places and moves runs and stores results, on the ledger's leader only. */
export class BatchRunner implements ItemRunListener {
  /** Decides on batches that are submitted. */
  readonly admission: AdmissionGate;
  readonly #options: BatchRunnerOptions;
  readonly #runnerState = new RunnerState(TICK_INTERVAL_MS);
  readonly #results: ResultWriter;
  readonly #demandMeter = new DemandMeter();
  readonly #pacer = new StartPacer(TICK_INTERVAL_MS);
  readonly #scorer: ItemScorer;
  readonly #mover: RunMover;
  readonly #starter: ItemStarter;
  readonly #learner: RunLearner;
  readonly #overdue: OverdueItems;
  readonly #failures: RunFailureHandler;
  readonly #partialTexts: PartialTextWriter;
  readonly #unanswered: UnansweredRequests;
  readonly #scheduler: PlacementScheduler;
  /** Identifiers and addresses of the targets whose state is kept, joined. */
  #places: string | undefined;
  #timer: NodeJS.Timeout | undefined;

  /** Creates a stopped runner. */
  constructor(options: BatchRunnerOptions) {
    this.#options = options;
    this.#results = new ResultWriter(options);
    const { scoring, state } = options;
    this.#scorer = new ItemScorer({
      ...options,
      port: scoring,
      rates: options.limiter,
      isBeingStored: (key) => this.#results.isPending(key),
      onEnded: (scored, score) => this.#results.completeScored(scored, score),
    });
    const shared = {
      ...options,
      ...this.#runnerState,
      results: this.#results,
      scorer: this.#scorer,
      createPlacer: (now: number) => this.#createPlacer(now),
    };
    this.admission = new AdmissionGate({
      ...shared,
      policy: () => scoring.policy(),
    });
    this.#starter = new ItemStarter({ ...shared, listener: this });
    const reach = new ReachRecorder(shared);
    this.#mover = new RunMover({
      ...shared,
      reach,
      restart: (waiting, placer) =>
        this.#starter.start(waiting, placer, state().all),
    });
    this.#learner = new RunLearner(shared);
    this.#overdue = new OverdueItems(shared);
    this.#failures = new RunFailureHandler({ ...shared, reach });
    this.#partialTexts = new PartialTextWriter(shared);
    this.#unanswered = new UnansweredRequests(shared);
    this.#scheduler = new PlacementScheduler({
      ...shared,
      starter: this.#starter,
      pacer: this.#pacer,
      isStarted: () => this.#timer !== undefined,
    });
  }

  /** Starts placing items; has no effect if already started. */
  start(): this {
    if (this.#timer === undefined) {
      this.#pacer.reset();
      this.admission.start();
      this.#runnerState.lag.reset().onTick(this.#options.now());
    }
    this.#timer ??= setInterval(() => this.#tick(), TICK_INTERVAL_MS);
    this.schedulePlacement();
    return this;
  }

  /** Cancels all runs and drops their progress. */
  stop(): this {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.admission.stop();
    this.#runnerState.clear();
    this.#scorer.stop();
    this.#results.clear();
    return this;
  }

  /** Gets what this leader has learnt of targets and services. */
  savePaces(): KnownPaces {
    return this.#runnerState.savePaces(this.#options.now());
  }

  /** Takes over what other leaders have learnt since. */
  loadPaces(paces: KnownPaces): this {
    this.#runnerState.loadPaces(paces, this.#options.now());
    return this;
  }

  /** Gets the mean demand of each service since the previous call. */
  takeDemand(): ServiceDemand[] {
    return this.#demandMeter.readAndReset();
  }

  #sampleDemand(): void {
    const { metrics, state } = this.#options;
    const open = this.#demandMeter.sample(state().all);
    const running = this.#runnerState.runs.size;
    metrics.gauge("items.running", running);
    metrics.gauge("items.waiting", Math.max(0, open - running));
  }

  /**
   * Schedules a placement round for the next turn of the event loop; several
   * requests before it share one round.
   */
  schedulePlacement(): void {
    this.#scheduler.schedule();
  }

  /** Cancels the runs of a batch that has ended, keeping their texts. */
  onBatchEnded(batch: string): this {
    const { runs, itemTracker } = this.#runnerState;
    for (const run of runs.all) {
      if (run.record.spec.id !== batch) continue;
      itemTracker.savePartialText(run, run.text);
      run.cancel();
      runs.remove(run);
    }
    this.#scorer.onBatchEnded(batch);
    this.schedulePlacement();
    return this;
  }

  /** Records that the write of a complete text has been applied. */
  onTextStored(batch: string, item: string): this {
    this.onResultStored(batch, item);
    this.#scorer.run();
    return this;
  }

  /** Records that the write of a result has been applied or has failed. */
  onResultStored(batch: string, item: string): this {
    this.#results.onStored(batch, item);
    return this;
  }

  /** Drops the state of removed targets and schedules a placement round. */
  onTargetsChanged(): this {
    const present = this.#options.registry.presentReports;
    const places = present.map(({ id, address }) => `${id} ${address}`).join();
    // Most changes are of weight versions, which remove no state.
    if (places !== this.#places) this.#keepOnly(present);
    this.#places = places;
    this.schedulePlacement();
    return this;
  }

  #keepOnly(present: readonly TargetReport[]): void {
    this.#runnerState.targetPace.keepOnly(new Set(present.map(({ id }) => id)));
    this.#options.engines
      .closeIdleExcept(new Set(present.map(({ address }) => address)));
    this.#scorer.onTargetsChanged(present);
  }

  /** Excludes a target from placement of a model while it loads its weights. */
  onLoadStarted(loading: LoadedVersion): void {
    this.#runnerState.loads.onOrdered(loading, this.#options.now());
  }

  /** Records the time in which a target has read a prompt. */
  onFirstEvent(run: ItemRun, afterMs: number): void {
    this.#learner.onFirstEvent(run, afterMs);
  }

  /** Records the time between two events, in milliseconds. */
  onEventGap(run: ItemRun, gapMs: number): void {
    this.#learner.onEventGap(run, gapMs);
  }

  /** Passes on what a target says of itself. */
  onSigns({ target }: ItemRun, signs: TargetSigns): void {
    this.#options.onSigns(target, signs);
  }

  /** Stores the result of a completed run. */
  onCompleted(run: ItemRun): void {
    const { metrics, now } = this.#options;
    metrics.timing("items.duration", now() - run.startedAt);
    this.#learner.onCompleted(run);
    this.#runnerState.runs.remove(run);
    this.#results.complete(run);
    this.schedulePlacement();
  }

  /** Keeps the text of a failed run and decides whether the item is retried. */
  onFailed(run: ItemRun, failure: RunFailure, detail: string): void {
    this.#runnerState.runs.remove(run);
    this.#failures.onFailed(run, failure, detail);
    this.schedulePlacement();
  }

  #tick(): void {
    const { canRunItems, now } = this.#options;
    this.#pacer.onTick(now());
    this.#learner.onTick();
    this.#unanswered.onTick();
    if (!canRunItems()) return;
    this.#sampleDemand();
    this.admission.sample();
    this.#mover.moveSilentRuns();
    this.#mover.moveSlowRuns();
    this.#partialTexts.storeLongRuns();
    this.#overdue.abandon(Date.now());
    this.#runnerState.itemTracker.forget(this.#options.state().all);
    this.#scorer.run();
    this.#scheduler.placeItems();
  }

  #createPlacer(now: number): ItemPlacer {
    const { registry, dataCentre, limiter } = this.#options;
    return new ItemPlacer({
      registry,
      limiter,
      ...this.#runnerState,
      dataCentre,
      now,
      wallNow: Date.now(),
    });
  }
}
