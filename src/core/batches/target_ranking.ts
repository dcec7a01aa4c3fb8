/** Ranks targets by the expected end of an item. */
import { mayContinue, type OutputWriter } from "../continuation/mod.ts";
import { loadFactorOf } from "./target_pace.ts";

/**
 * Share by which a scarce target must end an item earlier that any target could
 * run; outputs of its software version can go on nowhere else.
 */
const SCARCE_PENALTY = 0.5;
/**
 * Share by which a cold target must end an item earlier: its few requests are
 * reserved for items that find no slot elsewhere.
 */
const COLD_PENALTY = 0.1;

/** State of a target that placement depends on. */
export interface PlacementTarget {
  readonly id: string;
  readonly service: string;
  /** Software version; undefined if it is unknown. */
  readonly software: string | undefined;
  /** Whether other software versions of the service have more targets. */
  readonly isScarce: boolean;
  readonly dataCentre: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Number of requests in flight. */
  readonly inFlight: number;
  /** Loaded version of the item's model; undefined if not reported. */
  readonly version: number | undefined;
  /** Expected time per event of a run alone at the target, in milliseconds. */
  readonly paceMs: number;
  /** Whether the target is far slower now than it is in the long run. */
  readonly isDegraded: boolean;
  /** Whether the target accepts no work: after failures or while loading. */
  readonly isAvoided: boolean;
  /** Whether it has just started and takes few requests a second. */
  readonly isCold: boolean;
}

/** Expected run of an item, in times per event. */
export interface ExpectedRun {
  /** Number of events that the output still needs. */
  readonly remainingEvents: number;
  /** Time to the first event at a target without the prompt. */
  readonly uncachedPromptEvents: number;
  /** Time to the first event at a target with the prompt in its cache. */
  readonly cachedPromptEvents: number;
  /** Mean length of a run, which determines when a used slot becomes free. */
  readonly meanRunEvents: number;
}

/** Input of {@link rankTargets}. */
export interface RankingInput {
  readonly targets: readonly PlacementTarget[];
  /** Minimum weight version; 0 for any. */
  readonly minVersion: number;
  /** Who wrote the output so far; undefined if there is none. */
  readonly written: OutputWriter | undefined;
  /** Weight versions that generated the output so far. */
  readonly versions: readonly number[];
  /** Whether one weight version must generate the complete output. */
  readonly isSingleVersion: boolean;
  /** Targets to use only if no other is eligible, as after a failed run. */
  readonly excluded: ReadonlySet<string>;
  /** Targets that have the prompt of the item's group in their cache. */
  readonly cachingTargets: ReadonlySet<string>;
  /** Local data centre. */
  readonly dataCentre: string;
  readonly run: ExpectedRun;
}

/** The best of some targets, by expected end. */
export interface Best {
  target: PlacementTarget | undefined;
  /** Expected time until the output is complete, in milliseconds. */
  ms: number;
  /** As `ms`, with the penalties of a scarce and a cold target. */
  cost: number;
}

/** The best targets of one pass. */
export interface Ranking {
  readonly free: Best;
  readonly freeLocal: Best;
  readonly used: Best;
  /** Number of slots of the targets without a free one. */
  usedSlots: number;
  /** As `used`, among the targets that have the prompt in their cache. */
  readonly usedCaching: Best;
  usedCachingSlots: number;
}

/** Finds the best targets among those that are excluded, or are not. */
export function rankTargets(
  input: RankingInput,
  isExcluded: boolean,
): Ranking {
  const ranking: Ranking = {
    free: createBest(),
    freeLocal: createBest(),
    used: createBest(),
    usedSlots: 0,
    usedCaching: createBest(),
    usedCachingSlots: 0,
  };
  const { run, excluded, cachingTargets } = input;
  const uncachedEvents = run.uncachedPromptEvents + run.remainingEvents;
  const cachedEvents = run.cachedPromptEvents + run.remainingEvents;
  for (const target of input.targets) {
    if (!isEligible(target, input)) continue;
    if (excluded.size > 0 && excluded.has(target.id) !== isExcluded) continue;
    const isCached = cachingTargets.size > 0 && cachingTargets.has(target.id);
    const ms = eventMsOf(target) * (isCached ? cachedEvents : uncachedEvents);
    const cost = ms * (1 + penaltyOf(target, input));
    if (target.inFlight < target.slots) {
      improve(ranking.free, target, ms, cost);
      if (target.dataCentre === input.dataCentre) {
        improve(ranking.freeLocal, target, ms, cost);
      }
    } else if (!target.isDegraded) {
      improve(ranking.used, target, ms, cost);
      ranking.usedSlots += target.slots;
      if (!isCached) continue;
      improve(ranking.usedCaching, target, ms, cost);
      ranking.usedCachingSlots += target.slots;
    }
  }
  return ranking;
}

/** Gets the share by which a target must end an item earlier than others. */
function penaltyOf(target: PlacementTarget, input: RankingInput): number {
  const isScarce = target.isScarce && input.written === undefined;
  return (isScarce ? SCARCE_PENALTY : 0) + (target.isCold ? COLD_PENALTY : 0);
}

function createBest(): Best {
  return { target: undefined, ms: Infinity, cost: Infinity };
}

function improve(
  best: Best,
  target: PlacementTarget,
  ms: number,
  cost: number,
): void {
  if (cost >= best.cost) return;
  best.target = target;
  best.ms = ms;
  best.cost = cost;
}

function isEligible(
  target: PlacementTarget,
  input: RankingInput,
): boolean {
  const { version } = target;
  if (target.isAvoided || target.slots === 0) return false;
  if (input.minVersion > 0 && version === undefined) return false;
  if (version !== undefined && version < input.minVersion) return false;
  if (!mayContinue(input.written, target)) return false;
  if (!input.isSingleVersion || input.versions.length === 0) return true;
  return input.versions.every((v) => v === version);
}

/** Gets the time per event of one more run at a target. */
export function eventMsOf(
  { paceMs, inFlight, slots }: PlacementTarget,
): number {
  return paceMs * loadFactorOf(inFlight / slots);
}
