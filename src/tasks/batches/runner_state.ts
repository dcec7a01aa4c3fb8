/** What a leader keeps of runs, items and targets while it runs items. */
import {
  DataCentreReach,
  ItemTracker,
  type KnownPaces,
  PendingLoads,
  ProcessLag,
  PromptLocations,
  RunEstimator,
  TargetPace,
} from "../../core/batches/mod.ts";
import { RunTable } from "./run_table.ts";

/**
 * Holds the state that the parts of a {@link BatchRunner} share. None of it is
 * replicated; the next leader receives the paces and estimates alone.
 *
 * @example
 * ```ts
 * const learner = new RunLearner({ ...options, ...new RunnerState(50) });
 * ```
 */
export class RunnerState {
  readonly runs = new RunTable();
  readonly itemTracker = new ItemTracker();
  readonly targetPace = new TargetPace();
  readonly estimator = new RunEstimator();
  readonly prompts = new PromptLocations();
  readonly loads = new PendingLoads();
  readonly reach = new DataCentreReach();
  readonly lag: ProcessLag;

  /**
   * Creates empty state.
   * @param tickMs - Interval between two ticks of the runner, in milliseconds.
   */
  constructor(tickMs: number) {
    this.lag = new ProcessLag(tickMs);
  }

  /** Gets what this leader has learnt of targets and services. */
  savePaces(now: number): KnownPaces {
    return {
      targets: this.targetPace.save(now),
      services: this.estimator.save(),
    };
  }

  /** Takes over what other leaders have learnt since. */
  loadPaces({ targets, services }: KnownPaces, now: number): this {
    this.targetPace.load(targets, now);
    this.estimator.load(services);
    return this;
  }

  /** Cancels all runs and drops their progress; paces and estimates remain. */
  clear(): this {
    this.runs.cancelAll();
    this.itemTracker.clear();
    this.prompts.clear();
    this.reach.clear();
    return this;
  }
}
