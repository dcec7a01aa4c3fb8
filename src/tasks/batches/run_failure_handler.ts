/** Decides how items go on after their runs failed. */
import type {
  ItemProgress,
  ItemTracker,
  PromptLocations,
  RunText,
  TargetPace,
} from "../../core/batches/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { TargetLimiter } from "../fleet/target_limiter.ts";
import { RunFailure } from "./engine_port.ts";
import type { ItemRun } from "./item_run.ts";
import type { ReachRecorder } from "./reach_recorder.ts";
import type { ResultWriter } from "./result_writer.ts";

/** Options of {@link RunFailureHandler}. */
export interface RunFailureHandlerOptions {
  readonly itemTracker: ItemTracker;
  readonly targetPace: TargetPace;
  readonly reach: ReachRecorder;
  readonly prompts: PromptLocations;
  readonly results: ResultWriter;
  readonly limiter: TargetLimiter;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
}

/** Failures after which another process may have the target's identifier. */
const LOST_FAILURES: ReadonlySet<RunFailure> = new Set([
  RunFailure.Unreachable,
  RunFailure.Broken,
  RunFailure.Unverified,
]);
/** Time for which a target gets no items after it refused one. */
const REFUSAL_BACKOFF_MS = 150;

/** Keeps the texts of failed runs, and retries or abandons their items. */
export class RunFailureHandler {
  readonly #options: RunFailureHandlerOptions;

  constructor(options: RunFailureHandlerOptions) {
    this.#options = options;
  }

  /** Keeps the text of a failed run and decides whether the item is retried. */
  onFailed(run: ItemRun, failure: RunFailure, detail: string): void {
    const { itemTracker, limiter } = this.#options;
    if (LOST_FAILURES.has(failure)) limiter.onLost(run.target);
    const progress = itemTracker.progressOf(run);
    if (failure === RunFailure.Overlong) progress.partialText = undefined;
    else itemTracker.savePartialText(run, run.text);
    if (failure === RunFailure.Withheld) this.#logWithheld(run, detail);
    else this.#logBroken(run, failure, detail);
    this.#handlers[failure](run, progress);
  }

  #logWithheld(run: ItemRun, reason: string): void {
    const { metrics, logger, now } = this.#options;
    metrics.count("items.withheld");
    logger.event("itemWithheld", {
      batch: run.record.spec.id,
      item: run.item.id,
      target: run.target.id,
      reason,
      waitedMs: Math.round(now() - run.startedAt),
    });
  }

  #logBroken(run: ItemRun, failure: RunFailure, detail: string): void {
    const { metrics, logger, now } = this.#options;
    metrics.count("items.broken");
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
  }

  readonly #handlers: Readonly<
    Record<RunFailure, (run: ItemRun, progress: ItemProgress) => void>
  > = {
    refused: (run) => {
      const { prompts, targetPace, now } = this.#options;
      prompts.remove(run, run.target.id);
      targetPace.avoid(run.target, now() + REFUSAL_BACKOFF_MS);
    },
    withheld: (run) => this.#options.prompts.remove(run, run.target.id),
    misdirected: (run) => {
      this.#options.prompts.remove(run, run.target.id);
      this.#backOffTarget(run);
    },
    unverified: (run, progress) => {
      progress.unverifiedRuns += 1;
      this.#backOffTarget(run);
    },
    otherVersion: (run, progress) => {
      progress.excludedTargets.add(run.target.id);
      this.#backOffItem(run);
    },
    failed: (run, progress) => this.#onFailedRun(run, progress, run.text),
    overlong: (run, progress) => {
      progress.isOverlong = true;
      this.#options.metrics.count("items.overlong");
      this.#backOffTarget(run);
      this.#onFailedRun(run, progress);
    },
    impossible: ({ record, item, text }) =>
      this.#options.results.abandon(record, item, text),
    unreachable: (run, progress) => {
      this.#options.reach.onUnanswered(run.target);
      this.#onBroken(run, progress);
    },
    broken: (run, progress) => this.#onBroken(run, progress),
  };

  /** @param text - What an abandoned item keeps of its output. */
  #onFailedRun(run: ItemRun, progress: ItemProgress, text?: RunText): void {
    const { record, item, target } = run;
    progress.failedRuns += 1;
    progress.excludedTargets.add(target.id);
    if (progress.failedRuns < record.spec.maxAttempts) return;
    this.#options.results.abandon(record, item, text);
  }

  #onBroken(run: ItemRun, progress: ItemProgress): void {
    progress.excludedTargets.add(run.target.id);
    this.#backOffTarget(run);
    this.#backOffItem(run);
  }

  #backOffTarget({ target }: ItemRun): void {
    const { targetPace, now } = this.#options;
    targetPace.onFailure(target, now());
  }

  #backOffItem(run: ItemRun): void {
    const { itemTracker, now } = this.#options;
    itemTracker.backOff(run, now());
  }
}
