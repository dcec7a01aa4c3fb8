/** Order of the targets of a call where instances outnumber slots. */
import {
  type CallPlacementInput,
  type CallTarget,
  costOf,
} from "./call_placement.ts";
import { percentileOf } from "../statistics/mod.ts";
import { DEFAULT_LATENCY_MS } from "./latency_tracker.ts";

/** State of a target as far as this instance has measured it. */
export interface MeasuredTarget extends CallTarget {
  /** Mean of the measured latencies; undefined if there is none. */
  readonly measuredMs: number | undefined;
}

/** Input of {@link rankSpread}. */
export interface SpreadRankingInput extends CallPlacementInput {
  readonly targets: readonly MeasuredTarget[];
  /** Gets a random number in the range [0, 1). */
  readonly random: () => number;
}

/** Result of {@link rankSpread}. */
export interface SpreadRanking {
  /** The targets that have not been tried, the first choice first. */
  readonly targets: readonly MeasuredTarget[];
  /** Whether the first choice is not the target of the least cost. */
  readonly isSpread: boolean;
}

/**
 * Largest random change of a cost. It is small enough for a target in short
 * supply not to precede an equal one, and large enough to spread calls over
 * targets whose measurements differ by chance only.
 */
const SPREAD = 0.2;

/**
 * Gets the targets that have not been tried, by their expected latency with a
 * random change.
 *
 * Where instances outnumber slots, each instance measures a target rarely, so a
 * few measurements must not bind it to the same target for long. A target
 * without measurements counts as the median of the others.
 *
 * @example
 * ```ts
 * const { targets: [first] } = rankSpread({ targets, dataCentre: "a", tried, random });
 * ```
 */
export function rankSpread(input: SpreadRankingInput): SpreadRanking {
  const { targets, dataCentre, tried, random } = input;
  const measured = targets
    .flatMap(({ measuredMs }) => measuredMs === undefined ? [] : [measuredMs]);
  const assumedMs = percentileOf(measured, 0.5) ?? DEFAULT_LATENCY_MS;
  const ranked = targets
    .filter(({ id }) => !tried.has(id))
    .map((target) => {
      const latencyMs = target.measuredMs ?? assumedMs;
      const cost = costOf({ ...target, latencyMs }, dataCentre);
      const change = 1 + SPREAD * (2 * random() - 1);
      return { target, cost, changedCost: cost * change };
    })
    .sort((a, b) => a.changedCost - b.changedCost);
  return {
    targets: ranked.map(({ target }) => target),
    isSpread: ranked.some(({ cost }) => cost < ranked[0].cost),
  };
}
