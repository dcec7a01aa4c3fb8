/** Selects the target that runs an item. */
import { mayContinue, type OutputWriter } from "../continuation/mod.ts";

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
  /** Recent mean time between two events of a run, in milliseconds. */
  readonly paceMs: number;
  /** Whether the target is much slower than the median. */
  readonly isSlow: boolean;
  /** Whether the target accepts no work: after failures or while loading. */
  readonly isAvoided: boolean;
  /** Whether it has just started and takes few requests a second. */
  readonly isCold: boolean;
}

/** Input of {@link placeItem}. */
export interface PlacementInput {
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
  readonly warmTargets: ReadonlySet<string>;
  /** Local data centre. */
  readonly dataCentre: string;
}

/** Cost reduction for a target with the prompt in its cache, as a fraction. */
const WARM_CACHE_BONUS = 0.15;
/** Cost increase for a target in another data centre, as a fraction. */
const DISTANCE_PENALTY = 0.05;
/**
 * Cost increase of a scarce target for items that any target could run, as a
 * fraction; outputs of its software version can go on nowhere else.
 */
const SCARCE_PENALTY = 0.5;
/**
 * Cost increase of a cold target, as a fraction: its few requests are left to
 * items that find no slot elsewhere.
 */
const COLD_PENALTY = 0.1;

/**
 * Selects the target with the shortest expected run, or undefined if no
 * eligible target has a free slot. Slow targets are never used, because
 * waiting for a slot takes less time than a run on a slow target.
 *
 * @example
 * ```ts
 * const target = placeItem(input);
 * ```
 */
export function placeItem(
  input: PlacementInput,
): PlacementTarget | undefined {
  const eligible = input.targets.filter((t) => isEligible(t, input));
  const fast = eligible.filter((t) => !t.isSlow);
  const untried = fast.filter((t) => !input.excluded.has(t.id));
  const candidates = untried.length > 0 ? untried : fast;
  let best: PlacementTarget | undefined;
  let bestCost = Infinity;
  for (const target of candidates) {
    const cost = costOf(target, input);
    if (cost >= bestCost) continue;
    best = target;
    bestCost = cost;
  }
  return best;
}

function isEligible(
  target: PlacementTarget,
  input: PlacementInput,
): boolean {
  const { version } = target;
  if (target.isAvoided || target.inFlight >= target.slots) return false;
  if (input.minVersion > 0 && version === undefined) return false;
  if (version !== undefined && version < input.minVersion) return false;
  if (!mayContinue(input.written, target)) return false;
  if (!input.isSingleVersion || input.versions.length === 0) return true;
  return input.versions.every((v) => v === version);
}

function costOf(target: PlacementTarget, input: PlacementInput): number {
  const load = target.inFlight / Math.max(1, target.slots);
  const warmBonus = input.warmTargets.has(target.id) ? WARM_CACHE_BONUS : 0;
  const distancePenalty = target.dataCentre === input.dataCentre
    ? 0
    : DISTANCE_PENALTY;
  const scarcePenalty = target.isScarce && input.written === undefined
    ? SCARCE_PENALTY
    : 0;
  const coldPenalty = target.isCold ? COLD_PENALTY : 0;
  return target.paceMs *
    (1 + load - warmBonus + distancePenalty + scarcePenalty + coldPenalty);
}
