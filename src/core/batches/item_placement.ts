/** Selects the target at which an item is expected to end first. */
import {
  type Best,
  eventMsOf,
  type ExpectedRun,
  type PlacementTarget,
  type Ranking,
  type RankingInput,
  rankTargets,
} from "./target_ranking.ts";

/** Input of {@link placeItem}. */
export interface PlacementInput extends RankingInput {
  /** Time until the item is due, in milliseconds; negative if overdue. */
  readonly dueInMs: number;
  /**
   * Number of items that already wait for a used slot in this round; undefined
   * if the item may not wait.
   */
  readonly heldItems: number | undefined;
  /**
   * Number of items of the group that already wait in this round for a target
   * with their prompt; undefined if the item may not wait for one.
   */
  readonly heldForPrompt: number | undefined;
}

/** Reasons for the choice of a target. */
export const PlacementReason = {
  /** No other target ends the item earlier. */
  Earliest: "earliest",
  /** As {@link PlacementReason.Earliest}, with the prompt in its cache. */
  CachedPrompt: "cachedPrompt",
  /** It is in the local data centre, and others end only slightly earlier. */
  Local: "local",
  /**
   * It is degraded, and no other target ends the item earlier; `sick` in log
   * lines.
   */
  Degraded: "sick",
} as const;

/** One of the values of {@link PlacementReason}. */
export type PlacementReason =
  typeof PlacementReason[keyof typeof PlacementReason];

/** A target for an item. */
export interface Placement {
  readonly target: PlacementTarget;
  /** Expected time until the output is complete, in milliseconds. */
  readonly expectedMs: number;
  readonly reason: PlacementReason;
}

/** Result of {@link placeItem}. */
export interface PlacementResult {
  /** Undefined if the item must wait. */
  readonly placement: Placement | undefined;
  /** Whether slots are free, but the item ends earlier in one that is used. */
  readonly isHeld: boolean;
}

/** Part of the time left that an item may lose at a local target. */
const LOCAL_SHARE = 0.05;
/** Factor on the expected time, as outputs are often longer than estimated. */
const SAFETY_FACTOR = 2.5;
/** Share of the time of a run that waiting for a used slot may take at most. */
const HOLD_SHARE = 0.8;
const NOT_PLACED: PlacementResult = { placement: undefined, isHeld: false };
const HELD: PlacementResult = { placement: undefined, isHeld: true };

/**
 * Selects the target at which an item ends first. A target in the local data
 * centre is preferred if little time is lost by it. An item waits for a used
 * slot if it then ends earlier, and is late at all free targets, finds only
 * degraded ones, or finds none that has read its prompt.
 *
 * @example
 * ```ts
 * const { placement } = placeItem(input);
 * ```
 */
export function placeItem(input: PlacementInput): PlacementResult {
  const untried = rankTargets(input, false);
  const ranking = untried.free.target === undefined && input.excluded.size > 0
    ? rankTargets(input, true)
    : untried;
  const { free, freeLocal } = ranking;
  if (free.target === undefined) return NOT_PLACED;
  if (mustWait(untried, free, input)) return HELD;
  if (isLocalPreferred(ranking, input)) {
    return toResult(freeLocal, input, PlacementReason.Local);
  }
  return toResult(free, input, PlacementReason.Earliest);
}

function toResult(
  { target, ms }: Best,
  { cachingTargets }: PlacementInput,
  usual: PlacementReason,
): PlacementResult {
  if (target === undefined) return NOT_PLACED;
  const isCached = usual === PlacementReason.Earliest &&
    cachingTargets.has(target.id);
  const reason = target.isDegraded
    ? PlacementReason.Degraded
    : isCached
    ? PlacementReason.CachedPrompt
    : usual;
  return { placement: { target, expectedMs: ms, reason }, isHeld: false };
}

/** Gets whether an item ends earlier if it waits for a slot in use. */
function mustWait(
  { used, usedSlots, usedCaching, usedCachingSlots }: Ranking,
  free: Best,
  input: PlacementInput,
): boolean {
  const { run, dueInMs, heldItems, heldForPrompt } = input;
  if (heldItems === undefined) return false;
  const latestMs = HOLD_SHARE * free.ms;
  const isLate = free.ms * SAFETY_FACTOR > dueInMs;
  if (isLate || free.target?.isDegraded === true) {
    if (endAfterWaitMs(used, usedSlots, heldItems, run) < latestMs) return true;
  }
  if (heldForPrompt === undefined) return false;
  return endAfterWaitMs(usedCaching, usedCachingSlots, heldForPrompt, run) <
    latestMs;
}

/** Gets the expected end at a target, once one of some used slots is free. */
function endAfterWaitMs(
  best: Best,
  slots: number,
  held: number,
  run: ExpectedRun,
): number {
  if (best.target === undefined) return Infinity;
  const runMs = run.meanRunEvents * eventMsOf(best.target);
  return best.ms + runMs * (held + 1) / slots;
}

function isLocalPreferred(
  { free, freeLocal }: Ranking,
  { dueInMs }: PlacementInput,
): boolean {
  if (freeLocal.target === undefined || freeLocal.target === free.target) {
    return false;
  }
  if (freeLocal.target.isDegraded || freeLocal.ms * SAFETY_FACTOR > dueInMs) {
    return false;
  }
  return freeLocal.cost - free.cost <= LOCAL_SHARE * dueInMs;
}
