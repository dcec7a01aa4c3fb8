/** Assigns waiting items to targets. */
import {
  type ItemTracker,
  type PendingLoads,
  placeItem,
  type PlacementTarget,
  type RunText,
  type TargetPace,
  type WaitingItem,
} from "../../core/batches/mod.ts";
import type { Homes } from "../../core/policy/mod.ts";
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
  /** Permits for targets that limit their requests. */
  readonly limiter: TargetLimiter;
  /** Data centre of this instance. */
  readonly dataCentre: string;
  /** Time of the round, in milliseconds of the local clock. */
  readonly now: number;
}

type PlacementCandidate = PlacementTarget & { inFlight: number };

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

  /** Creates a placer from the current runs and targets. */
  constructor(options: ItemPlacerOptions) {
    this.#options = options;
    this.#runCounts = options.runs.countByTarget();
  }

  /**
   * Gets whether no target can take an item, regardless of its partial text.
   */
  isExhausted(waiting: WaitingItem): boolean {
    return this.#exhausted.has(placementKeyOf(waiting));
  }

  /**
   * Chooses a target for an item; undefined if the item must wait.
   * @param text - The output to go on with; empty to begin anew.
   */
  choose(waiting: WaitingItem, text: RunText): PlacementTarget | undefined {
    if (this.isExhausted(waiting)) return undefined;
    const { record, item } = waiting;
    const { runs, itemTracker, dataCentre } = this.#options;
    const { minVersion, isSingleVersion, service, homes } = record.spec;
    const chosen = placeItem({
      targets: this.#candidatesFor(service, item.model, homes),
      minVersion,
      written: text.size === 0
        ? undefined
        : { service, software: text.software },
      versions: text.versions,
      isSingleVersion,
      excluded: itemTracker.excludedTargetsOf(item),
      warmTargets: runs.getTargetsOfGroup(record, item),
      dataCentre,
    });
    if (chosen === undefined && text.size === 0) {
      this.#exhausted.add(placementKeyOf(waiting));
    }
    return chosen;
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

  #candidatesFor(
    service: string,
    model: string,
    homes: Homes,
  ): PlacementCandidate[] {
    const key = JSON.stringify([service, model, homes]);
    let candidates = this.#candidates.get(key);
    if (candidates !== undefined) return candidates;
    const { registry, targetPace, loads, now } = this.#options;
    const reports = registry.readyOf(service, homes).map(({ report }) =>
      report
    );
    const scarce = scarceVersionsOf(reports);
    candidates = reports.map((report) => ({
      id: report.id,
      service,
      software: report.software,
      isScarce: scarce.has(report.software),
      dataCentre: report.dataCentre,
      slots: this.#slotsOf(report),
      inFlight: this.#runCounts.get(report.id) ?? 0,
      version: report.versions[model],
      paceMs: targetPace.paceMs(report.id, now),
      isSlow: targetPace.isSlow(report.id, now),
      isAvoided: targetPace.isAvoided(report.id, now) ||
        loads.isLoading(report, model, now),
    }));
    this.#candidates.set(key, candidates);
    return candidates;
  }

  /** Gets the slots of a target, as far as it takes more requests now. */
  #slotsOf(report: TargetReport): number {
    const { limiter } = this.#options;
    if (!limiter.isLimited(report)) return report.slots;
    const inFlight = this.#runCounts.get(report.id) ?? 0;
    if (inFlight < report.slots) this.#limitedTargets.set(report.id, report);
    return Math.min(report.slots, inFlight + limiter.storedPermits(report));
  }
}

/**
 * Gets the key of an item's service, model, lowest version and homes. Items with
 * the same key fit the same targets.
 */
function placementKeyOf({ record, item }: WaitingItem): string {
  const { service, minVersion, homes } = record.spec;
  return JSON.stringify([service, item.model, minVersion, homes]);
}
