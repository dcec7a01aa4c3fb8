/** Starts runs of items that wait. */
import {
  type BatchRecord,
  type ItemTracker,
  type KnownOutput,
  type Placement,
  type PromptLocations,
  RunText,
  type TargetPace,
  type WaitingItem,
} from "../../core/batches/mod.ts";
import type { TargetRegistry, TargetReport } from "../../core/registry/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { TargetLimiter } from "../fleet/target_limiter.ts";
import { checkPermit, checkTarget } from "../send_guard.ts";
import { checkBatch } from "./batch_check.ts";
import type { EnginePort } from "./engine_port.ts";
import type { ItemPlacer } from "./item_placer.ts";
import { ItemRun, type ItemRunListener } from "./item_run.ts";
import type { ResultWriter } from "./result_writer.ts";
import type { RunTable } from "./run_table.ts";

/** Options of {@link ItemStarter}. */
export interface ItemStarterOptions {
  readonly registry: TargetRegistry;
  readonly engines: EnginePort;
  readonly limiter: TargetLimiter;
  readonly itemTracker: ItemTracker;
  readonly targetPace: TargetPace;
  readonly results: ResultWriter;
  /** Receives the targets that read prompts. */
  readonly prompts: PromptLocations;
  /** Receives the runs that are started. */
  readonly runs: RunTable;
  readonly listener: ItemRunListener;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Gets whether this replica leads under its lease. */
  readonly holdsLease: () => boolean;
}

/**
 * Time for which an item waits for a target that can go on with its partial
 * output, before it begins anew.
 */
const STRANDED_WAIT_MS = 1_000;

/** A target for an item, and the output that the run goes on with. */
interface TargetChoice {
  readonly placement: Placement;
  /** Empty if the item begins anew. */
  readonly text: RunText;
}

/** Starts items at targets that may go on with their output, or anew. */
export class ItemStarter {
  readonly #options: ItemStarterOptions;

  constructor(options: ItemStarterOptions) {
    this.#options = options;
  }

  /**
   * Starts a run of an item, or reuses its complete output.
   * @param records - All batches, which may hold output of the item.
   * @returns Whether the item waits no longer.
   */
  start(
    waiting: WaitingItem,
    placer: ItemPlacer,
    records: readonly BatchRecord[],
  ): boolean {
    if (placer.isExhausted(waiting)) return false;
    const { registry, engines, limiter, itemTracker, results, runs, prompts } =
      this.#options;
    const { holdsLease } = this.#options;
    const { record, item } = waiting;
    const output = itemTracker.outputOf(waiting, records);
    if (output.complete !== undefined) {
      results.reuseText(record, item, output.complete);
      return true;
    }
    const choice = this.#chooseTarget(waiting, placer, output.partial);
    if (choice === undefined) return false;
    const { placement, text } = choice;
    const target = registry.get(placement.target.id)?.report;
    if (target === undefined) return false;
    placer.reserveSlot(target.id);
    const permit = limiter.isLimited(target)
      ? limiter.useStored(target)
      : undefined;
    itemTracker.onRunStarted(waiting, text.size > 0);
    this.#logPlaced(waiting, { target, placement, text, output });
    const startedAt = this.#options.now();
    const isPromptCached = prompts.targetsOf(waiting, startedAt).has(target.id);
    prompts.add(waiting, target.id, startedAt);
    const run = new ItemRun({
      record,
      item,
      target,
      text,
      isPromptCached,
      isPaceKnown: this.#options.targetPace.isPaceKnown(target),
      engines,
      listener: this.#options.listener,
      now: this.#options.now,
      guard: () =>
        checkBatch(record, holdsLease) ?? checkTarget(registry, target) ??
          checkPermit(permit),
      onSent: () => this.#logSent(waiting, target, startedAt),
    });
    if (!run.hasEnded) runs.add(run);
    return true;
  }

  /**
   * Chooses a target that goes on with a partial output. If there is none, the
   * item begins anew at another one, after a wait.
   */
  #chooseTarget(
    waiting: WaitingItem,
    placer: ItemPlacer,
    partial: readonly RunText[],
  ): TargetChoice | undefined {
    for (const text of partial) {
      const { placement, isHeld } = placer.choose(waiting, text);
      if (isHeld) return undefined;
      if (placement !== undefined) return { placement, text };
    }
    const text = new RunText();
    const { placement } = placer.choose(waiting, text);
    if (placement === undefined) return undefined;
    if (partial.length === 0) return { placement, text };
    const { itemTracker, now } = this.#options;
    const strandedMs = itemTracker.trackStranded(waiting, now());
    return strandedMs < STRANDED_WAIT_MS ? undefined : { placement, text };
  }

  #logSent(
    { record, item }: WaitingItem,
    target: TargetReport,
    placedAt: number,
  ): void {
    const { logger, now } = this.#options;
    logger.event("itemSent", {
      batch: record.spec.id,
      item: item.id,
      target: target.id,
      waitedMs: Math.round(now() - placedAt),
    });
  }

  #logPlaced(
    { record, item }: WaitingItem,
    { target, placement, text, output }: TargetChoice & {
      readonly target: TargetReport;
      readonly output: KnownOutput;
    },
  ): void {
    const { metrics, logger } = this.#options;
    const { id: batch, minVersion } = record.spec;
    metrics.count("items.placed");
    if (text.size > 0) metrics.count("items.resumed");
    logger.event("itemPlaced", {
      batch,
      item: item.id,
      target: target.id,
      resumeAfter: text.lastId,
      software: target.software,
      resumedSoftware: text.software,
      version: target.versions[item.model],
      minVersion,
      inFlight: placement.target.inFlight,
      paceMs: Math.round(placement.target.paceMs),
      expectedMs: Math.round(placement.expectedMs),
      reason: placement.reason,
    });
    if (text.size > 0 || output.receivedEvents === 0) return;
    const [dropped] = output.partial;
    metrics.count("items.begunAnew");
    logger.event("itemBegunAnew", {
      batch,
      item: item.id,
      target: target.id,
      software: target.software,
      reason: dropped === undefined ? "writerUnknown" : "noTarget",
      droppedSoftware: dropped?.software,
      droppedEvents: dropped?.lastId ?? output.receivedEvents,
    });
  }
}
