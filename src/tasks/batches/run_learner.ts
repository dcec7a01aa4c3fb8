/** Learns from runs how fast targets are and which prompts they hold. */
import type {
  DataCentreReach,
  ProcessLag,
  PromptLocations,
  RunEstimator,
  TargetPace,
} from "../../core/batches/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { ItemRun } from "./item_run.ts";
import type { RunTable } from "./run_table.ts";

/** Options of {@link RunLearner}. */
export interface RunLearnerOptions {
  readonly runs: RunTable;
  readonly targetPace: TargetPace;
  readonly reach: DataCentreReach;
  readonly estimator: RunEstimator;
  readonly prompts: PromptLocations;
  /** Tells whether times of events are those of targets. */
  readonly lag: ProcessLag;
  readonly metrics: Metrics;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
}

/** Records what the events of runs show of targets and outputs. */
export class RunLearner {
  readonly #options: RunLearnerOptions;

  constructor(options: RunLearnerOptions) {
    this.#options = options;
  }

  /** Records a tick of this process, by which gaps between events count. */
  onTick(): void {
    const { lag, targetPace, metrics } = this.#options;
    const now = this.#options.now();
    if (lag.onTick(now).isMeasured(now, now)) return;
    metrics.count("items.ticksLate");
    targetPace.onStalled(now);
  }

  /** Records the time in which a target has read a prompt. */
  onFirstEvent(run: ItemRun, afterMs: number): void {
    const { prompts, targetPace, estimator, reach, lag } = this.#options;
    const now = this.#options.now();
    reach.onAnswered(run.target.dataCentre);
    prompts.add(run, run.target.id, now);
    if (run.resumedAfter > 0 || !lag.isMeasured(now - afterMs, now)) return;
    const paceMs = targetPace.inherentPaceMs(run.target, now);
    estimator.onFirstEvent(run.record.spec.service, {
      isCached: run.isPromptCached,
      events: afterMs / paceMs,
    });
  }

  /** Records the time between two events, in milliseconds. */
  onEventGap({ target }: ItemRun, gapMs: number): void {
    const { lag, reach } = this.#options;
    const now = this.#options.now();
    reach.onAnswered(target.dataCentre);
    if (!lag.isMeasured(now - gapMs, now)) return;
    const runs = Math.max(1, this.#options.runs.countAt(target.id));
    const load = (runs - 1) / Math.max(1, target.slots);
    this.#options.targetPace.onEventGap(target, { gapMs, load, runs, now });
  }

  /** Records the length of a complete output, and where its prompt is. */
  onCompleted(run: ItemRun): void {
    const { prompts, targetPace, estimator, now } = this.#options;
    targetPace.onCompleted(run.target);
    prompts.add(run, run.target.id, now());
    estimator.onCompleted(run.record.spec.service, {
      expectedTokens: run.item.expectedTokens,
      events: run.text.lastId,
    });
  }
}
