/** Moves runs off silent, degraded and slow targets. */
import {
  expectedStayMs,
  type ItemTracker,
  loadFactorOf,
  mayMoveRun,
  type PendingLoads,
  type ProcessLag,
  type RunEstimator,
  type TargetPace,
  type WaitingItem,
} from "../../core/batches/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Metrics } from "../../metrics/mod.ts";
import type { ItemPlacer } from "./item_placer.ts";
import type { ItemRun } from "./item_run.ts";
import type { ReachRecorder } from "./reach_recorder.ts";
import type { RunTable } from "./run_table.ts";

/** Options of {@link RunMover}. */
export interface RunMoverOptions {
  readonly runs: RunTable;
  readonly itemTracker: ItemTracker;
  readonly targetPace: TargetPace;
  readonly estimator: RunEstimator;
  readonly loads: PendingLoads;
  readonly reach: ReachRecorder;
  /** Tells whether times of events are those of targets. */
  readonly lag: ProcessLag;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Creates a placer for one round at a time. */
  readonly createPlacer: (now: number) => ItemPlacer;
  /** Starts an item at the target that the placer chooses. */
  readonly restart: (waiting: WaitingItem, placer: ItemPlacer) => boolean;
}

/** Why a run moves off a slow target. */
type SlowReason = "sick" | "misplaced";

/** Why and where a run moves, for the log. */
interface MoveDetail {
  readonly reason: "silent" | SlowReason;
  readonly detail: string;
  readonly to?: string;
  readonly stayMs?: number;
  readonly moveMs?: number;
}

/**
 * Silence timeout of a run with fewer than {@link MIN_EVENTS_FOR_PACE} events.
 */
const FIRST_EVENT_TIMEOUT_MS = 1_000;
/** Lower bound of the silence timeout between two events. */
const SILENCE_TIMEOUT_MS = 600;
/** Silence timeout while the target loads weights of the item's model. */
const LOADING_SILENCE_TIMEOUT_MS = 3_000;
/** Silence timeout between two events, in long-run times per event. */
const SILENCE_TIMEOUT_EVENTS = 8;
/** Silence timeout before the first event, in expected times until then. */
const FIRST_EVENT_TIMEOUTS = 3;
/**
 * Time between two checks for silence from which this process was held up, so
 * that events may wait to be read.
 */
const HELD_UP_MS = 200;
/** Maximum number of runs moved off degraded and slow targets in one round. */
const MAX_MOVED_PER_ROUND = 12;
/** Number of events of a run from which its pace is taken into account. */
const MIN_EVENTS_FOR_PACE = 3;

/** Doublings after which the silence timeout of an item grows no more. */
const MAX_TIMEOUT_DOUBLINGS = 6;

/** Cancels runs that make no progress; their items run on at other targets. */
export class RunMover {
  readonly #options: RunMoverOptions;
  #checkedAt = -Infinity;
  #wasHeldUp = false;

  constructor(options: RunMoverOptions) {
    this.#options = options;
  }

  /** Moves runs that have had no event for too long to other targets. */
  moveSilentRuns(): void {
    const { runs, itemTracker, targetPace, reach } = this.#options;
    const now = this.#options.now();
    if (this.#isHeldUp(now)) return;
    for (const run of runs.all) {
      const limitMs = this.#silenceTimeoutMs(run, now);
      if (run.silenceMs <= limitMs) continue;
      this.#cancelRun(run, {
        reason: "silent",
        detail: `No event for ${Math.round(run.silenceMs)} ms`,
      });
      itemTracker.progressOf(run).silentRuns += 1;
      targetPace.onFailure(run.target, now);
      reach.onUnanswered(run.target);
    }
  }

  /**
   * Gets whether this process was held up since the last check. Two checks in a
   * row are not skipped, so that silent runs end even if it is always late.
   */
  #isHeldUp(now: number): boolean {
    const isLate = now - this.#checkedAt > HELD_UP_MS;
    this.#checkedAt = now;
    this.#wasHeldUp = isLate && !this.#wasHeldUp;
    return this.#wasHeldUp;
  }

  /**
   * Moves runs off degraded targets, and off slow ones whose pace was unknown
   * when the runs started, if they then end clearly earlier. None is moved while
   * this process is late: events that show a recovery may wait to be read.
   */
  moveSlowRuns(): void {
    const { runs, lag, createPlacer, now: clock } = this.#options;
    const now = clock();
    if (!lag.isMeasured(now, now)) return;
    let placer: ItemPlacer | undefined;
    let moved = 0;
    for (const run of runs.all) {
      if (moved >= MAX_MOVED_PER_ROUND) return;
      const reason = this.#reasonToMove(run, now);
      if (reason === undefined) continue;
      placer ??= createPlacer(now);
      if (this.#moveSlowRun(run, placer, reason, now)) moved += 1;
    }
  }

  /** Gets why a run may move; undefined if it stays in any case. */
  #reasonToMove(run: ItemRun, now: number): SlowReason | undefined {
    const { targetPace, itemTracker } = this.#options;
    if (targetPace.isPersistentlyDegraded(run.target, now)) return "sick";
    if (run.wasPaceKnown || !targetPace.isPaceKnown(run.target)) {
      return undefined;
    }
    const { isPaceCorrected } = itemTracker.progressOf(run);
    return isPaceCorrected ? undefined : "misplaced";
  }

  #moveSlowRun(
    run: ItemRun,
    placer: ItemPlacer,
    reason: SlowReason,
    now: number,
  ): boolean {
    const { targetPace, itemTracker } = this.#options;
    const stayMs = this.#stayMs(run, reason, now);
    if (!mayMoveRun({ stayMs, moveMs: 0 })) return false;
    const { placement } = placer.choose(run, run.text);
    if (placement === undefined || placement.target.id === run.target.id) {
      return false;
    }
    const moveMs = placement.expectedMs;
    if (!mayMoveRun({ stayMs, moveMs })) return false;
    if (reason === "misplaced") {
      itemTracker.progressOf(run).isPaceCorrected = true;
    }
    const paceMs = targetPace.paceMs(run.target, now);
    this.#cancelRun(run, {
      reason,
      detail: `Target takes ${Math.round(paceMs)} ms per event`,
      to: placement.target.id,
      stayMs: Math.round(stayMs),
      moveMs: Math.round(moveMs),
    });
    this.#options.restart(run, placer);
    return true;
  }

  /** Gets the expected time to the end of a run where it is. */
  #stayMs(run: ItemRun, reason: SlowReason, now: number): number {
    const { targetPace, estimator } = this.#options;
    const { target, text } = run;
    const factor = this.#loadFactorAt(run);
    const inherentMs = targetPace.inherentPaceMs(target, now);
    const recentMs = reason === "sick"
      ? targetPace.paceMs(target, now)
      : inherentMs;
    return expectedStayMs({
      remainingEvents: estimator.remainingEvents(run, text.lastId),
      recentMs: recentMs * factor,
      inherentMs: inherentMs * factor,
    });
  }

  #loadFactorAt({ target }: ItemRun): number {
    const others = this.#options.runs.countAt(target.id) - 1;
    return loadFactorOf(Math.max(0, others) / Math.max(1, target.slots));
  }

  /**
   * Gets how long a run may be silent. The time doubles with each run of the
   * item that was too silent, so that a slow but sound target completes it.
   */
  #silenceTimeoutMs(run: ItemRun, now: number): number {
    const { silentRuns } = this.#options.itemTracker.progressOf(run);
    const doublings = Math.min(silentRuns, MAX_TIMEOUT_DOUBLINGS);
    return this.#usualSilenceMs(run, now) * 2 ** doublings;
  }

  /** Gets the silence to allow by the long-run pace of the run's target. */
  #usualSilenceMs(run: ItemRun, now: number): number {
    const { loads, targetPace, estimator } = this.#options;
    if (loads.isLoading(run.target, run.item.model, now)) {
      return LOADING_SILENCE_TIMEOUT_MS;
    }
    const eventMs = targetPace.inherentPaceMs(run.target, now) *
      this.#loadFactorAt(run);
    const betweenMs = eventMs * SILENCE_TIMEOUT_EVENTS;
    if (run.events >= MIN_EVENTS_FOR_PACE) {
      return Math.max(SILENCE_TIMEOUT_MS, betweenMs);
    }
    const promptMs = eventMs * estimator.promptEvents(run.record.spec.service, {
      isCached: run.isPromptCached,
      received: run.resumedAfter,
    });
    return Math.max(
      FIRST_EVENT_TIMEOUT_MS,
      betweenMs,
      FIRST_EVENT_TIMEOUTS * promptMs,
    );
  }

  #cancelRun(run: ItemRun, { reason, ...detail }: MoveDetail): void {
    const { runs, itemTracker, metrics, logger } = this.#options;
    run.cancel();
    runs.remove(run);
    itemTracker.savePartialText(run, run.text);
    itemTracker.progressOf(run).excludedTargets.add(run.target.id);
    metrics.count("items.moved");
    metrics.count(MOVE_METRICS[reason]);
    logger.event("itemMoved", {
      batch: run.record.spec.id,
      item: run.item.id,
      target: run.target.id,
      reason,
      ...detail,
      events: run.events,
    });
  }
}

const MOVE_METRICS = {
  silent: "items.moved.silent",
  sick: "items.moved.sick",
  misplaced: "items.moved.misplaced",
} as const;
