/** Assigns waiting items to targets. */
import {
  type BatchRecord,
  type DataCentreReach,
  type ExpectedRun,
  groupKeyOf,
  type ItemTracker,
  type PendingLoads,
  placeItem,
  type PlacementResult,
  type PlacementTarget,
  type PromptLocations,
  type RunEstimator,
  type RunText,
  type TargetPace,
  type WaitingItem,
} from "../../core/batches/mod.ts";
import { scarceVersionsOf } from "../../core/continuation/mod.ts";
import type { TargetRegistry, TargetReport } from "../../core/registry/mod.ts";
import type { TargetLimiter } from "../fleet/target_limiter.ts";
import type { RunTable } from "./run_table.ts";

/** Options of {@link ItemPlacer}. */
export interface ItemPlacerOptions {
  readonly registry: TargetRegistry;
  readonly runs: RunTable;
  readonly itemTracker: ItemTracker;
  readonly targetPace: TargetPace;
  readonly loads: PendingLoads;
  readonly reach: DataCentreReach;
  readonly estimator: RunEstimator;
  readonly prompts: PromptLocations;
  /** Permits for targets that limit their requests. */
  readonly limiter: TargetLimiter;
  /** Data centre of this instance. */
  readonly dataCentre: string;
  /** Time of the round, in milliseconds of the local clock. */
  readonly now: number;
  /** Time of the round, in milliseconds since the Unix epoch. */
  readonly wallNow: number;
}

/**
 * Number of items that may wait in one round while slots are free; bounds the
 * work of a round.
 */
const MAX_HELD_PER_ROUND = 32;
/** Number of runs that show whether a degraded target has recovered. */
const MAX_RECOVERING_RUNS = 1;
/** Time for which an item waits for a target that has read its prompt. */
const MAX_PROMPT_WAIT_MS = 300;
const NOT_PLACED: PlacementResult = { placement: undefined, isHeld: false };

type PlacementCandidate = PlacementTarget & { inFlight: number };

/** Keys of the items of one batch and model. */
interface PlacementKeys {
  /** Service, model and homes: which targets are candidates. */
  readonly candidates: string;
  /** The same and the lowest version: items with it fit the same targets. */
  readonly items: string;
}

/**
 * Chooses targets for the items of one placement round. Target state is read
 * once per round, so that the cost does not grow with the number of waiting
 * items.
 */
export class ItemPlacer {
  readonly #options: ItemPlacerOptions;
  readonly #runCounts: Map<string, number>;
  /** Candidate targets by service, model and homes. */
  readonly #candidates = new Map<string, PlacementCandidate[]>();
  /** Placement keys for which no target has a free slot. */
  readonly #exhausted = new Set<string>();
  readonly #limitedTargets = new Map<string, TargetReport>();
  /** Keys by batch and model; encoding them costs as much as a choice. */
  readonly #keys = new Map<BatchRecord, Map<string, PlacementKeys>>();
  #heldItems = 0;
  /** Number of items that wait while slots are free, by group. */
  readonly #heldByGroup = new Map<string, number>();

  /** Creates a placer from the current runs and targets. */
  constructor(options: ItemPlacerOptions) {
    this.#options = options;
    this.#runCounts = options.runs.countByTarget();
  }

  /**
   * Gets whether no target can take an item, regardless of its partial text.
   */
  isExhausted(waiting: WaitingItem): boolean {
    return this.#exhausted.has(this.#keysOf(waiting).items);
  }

  /**
   * Chooses a target for an item; without one the item must wait.
   * @param text - The output to go on with; empty to begin anew.
   */
  choose(waiting: WaitingItem, text: RunText): PlacementResult {
    if (this.isExhausted(waiting)) return NOT_PLACED;
    const { record } = waiting;
    const { itemTracker, prompts, dataCentre, now, wallNow } = this.#options;
    const { minVersion, isSingleVersion, service } = record.spec;
    const result = placeItem({
      targets: this.#candidatesFor(waiting),
      minVersion,
      written: text.size === 0
        ? undefined
        : { service, software: text.software },
      versions: text.versions,
      isSingleVersion,
      excluded: itemTracker.excludedTargetsOf(waiting),
      cachingTargets: prompts.targetsOf(waiting, now),
      dataCentre,
      run: this.#expectRun(waiting, text.lastId),
      dueInMs: record.spec.acceptedAt + record.spec.objectiveMs - wallNow,
      heldItems: this.#heldItems < MAX_HELD_PER_ROUND
        ? this.#heldItems
        : undefined,
      heldForPrompt: itemTracker.heldMs(waiting, now) < MAX_PROMPT_WAIT_MS
        ? this.#heldByGroup.get(groupKeyOf(waiting)) ?? 0
        : undefined,
    });
    if (result.isHeld) this.#onHeld(waiting);
    else if (result.placement === undefined && text.size === 0) {
      this.#exhausted.add(this.#keysOf(waiting).items);
    }
    return result;
  }

  #onHeld(waiting: WaitingItem): void {
    const { itemTracker, now } = this.#options;
    const key = groupKeyOf(waiting);
    this.#heldItems += 1;
    this.#heldByGroup.set(key, (this.#heldByGroup.get(key) ?? 0) + 1);
    itemTracker.onHeld(waiting, now);
  }

  #expectRun(waiting: WaitingItem, received: number): ExpectedRun {
    const { estimator } = this.#options;
    const { service } = waiting.record.spec;
    const promptEvents = (isCached: boolean) =>
      estimator.promptEvents(service, { isCached, received });
    return {
      remainingEvents: estimator.remainingEvents(waiting, received),
      uncachedPromptEvents: promptEvents(false),
      cachedPromptEvents: promptEvents(true),
      meanRunEvents: estimator.meanEvents(service),
    };
  }

  /** Gets the limited targets of this round that have free slots. */
  get limitedTargets(): TargetReport[] {
    return [...this.#limitedTargets.values()];
  }

  /** Counts one more run at a target for the rest of the round. */
  reserveSlot(target: string): this {
    const count = (this.#runCounts.get(target) ?? 0) + 1;
    this.#runCounts.set(target, count);
    for (const candidates of this.#candidates.values()) {
      const candidate = candidates.find(({ id }) => id === target);
      if (candidate !== undefined) candidate.inFlight = count;
    }
    return this;
  }

  #candidatesFor(waiting: WaitingItem): PlacementCandidate[] {
    const key = this.#keysOf(waiting).candidates;
    const { service, homes } = waiting.record.spec;
    const { model } = waiting.item;
    let candidates = this.#candidates.get(key);
    if (candidates !== undefined) return candidates;
    const { registry, targetPace, loads, limiter, now } = this.#options;
    const reports = registry.readyOf(service, homes)
      .map(({ report }) => report);
    const scarce = scarceVersionsOf(reports);
    const unreachable = this.#unreachableOf(reports);
    candidates = reports.map((report) => ({
      id: report.id,
      service,
      software: report.software,
      isScarce: scarce.has(report.software),
      dataCentre: report.dataCentre,
      slots: this.#slotsOf(report),
      inFlight: this.#runCounts.get(report.id) ?? 0,
      version: report.versions[model],
      paceMs: targetPace.paceMs(report, now),
      isDegraded: targetPace.isDegraded(report, now) ||
        targetPace.isRecovering(report, now),
      isAvoided: targetPace.isAvoided(report, now) ||
        loads.isLoading(report, model, now) ||
        unreachable.has(report.dataCentre),
      isCold: limiter.isCold(report),
    }));
    this.#candidates.set(key, candidates);
    return candidates;
  }

  /**
   * Gets the data centres that do not answer; none if no one answers, since then
   * this instance is the one that is cut off.
   */
  #unreachableOf(reports: readonly TargetReport[]): ReadonlySet<string> {
    const { reach, now } = this.#options;
    const all = new Set(reports.map(({ dataCentre }) => dataCentre));
    const unreachable = [...all].filter((id) => reach.isUnreachable(id, now));
    return new Set(unreachable.length < all.size ? unreachable : []);
  }

  /** Gets the slots of a target, as far as it takes more requests now. */
  #slotsOf(report: TargetReport): number {
    const { limiter, targetPace, now } = this.#options;
    const slots = targetPace.isRecovering(report, now)
      ? Math.min(report.slots, MAX_RECOVERING_RUNS)
      : report.slots;
    if (!limiter.isLimited(report)) return slots;
    const inFlight = this.#runCounts.get(report.id) ?? 0;
    if (inFlight < slots) this.#limitedTargets.set(report.id, report);
    return Math.min(slots, inFlight + limiter.storedPermits(report));
  }

  #keysOf({ record, item: { model } }: WaitingItem): PlacementKeys {
    let byModel = this.#keys.get(record);
    if (byModel === undefined) {
      byModel = new Map();
      this.#keys.set(record, byModel);
    }
    let keys = byModel.get(model);
    if (keys === undefined) {
      const { service, minVersion, homes } = record.spec;
      keys = {
        candidates: JSON.stringify([service, model, homes]),
        items: JSON.stringify([service, model, minVersion, homes]),
      };
      byModel.set(model, keys);
    }
    return keys;
  }
}
