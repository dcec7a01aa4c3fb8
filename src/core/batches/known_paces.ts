/**
 * Measurements of targets and services that a leader passes to the next one.
 */

/** Long-run pace of a target's incarnation. */
export interface TargetPaceRecord {
  readonly id: string;
  readonly service: string;
  readonly incarnation: number;
  /** Long-run time per event of a run alone at the target, in milliseconds. */
  readonly paceMs: number;
  /** Time since the pace was last measured, in milliseconds. */
  readonly ageMs: number;
}

/** Mean time to the first event. */
export interface PromptMean {
  /** The mean, as a number of events that take the same time. */
  readonly events: number;
  /** Number of runs in the mean. */
  readonly samples: number;
}

/** Estimates of a service: sums over its recent runs. */
export interface EstimateRecord {
  readonly service: string;
  readonly completed: number;
  readonly runs: number;
  readonly events: number;
  readonly estimatedEvents: number;
  readonly estimatedTokens: number;
  readonly prompts: {
    readonly uncached: PromptMean;
    readonly cached: PromptMean;
  };
  /** Age of the record, in milliseconds; a leader saves its own with 0. */
  readonly ageMs: number;
}

/** Age from which a pace or an estimate is ignored. */
export const MAX_PACE_AGE_MS = 300_000;

/** All known measurements. */
export interface KnownPaces {
  readonly targets: readonly TargetPaceRecord[];
  readonly services: readonly EstimateRecord[];
}

type EstimateCounts = Pick<EstimateRecord, "completed" | "prompts">;

/**
 * Gets whether one estimate is based on more runs than another; counts carry
 * over between leaders.
 *
 * @example
 * ```ts
 * isBetterEstimate(received, undefined); // true
 * ```
 */
export function isBetterEstimate(
  one: EstimateCounts,
  other: EstimateCounts | undefined,
): boolean {
  if (other === undefined) return true;
  if (one.completed !== other.completed) return one.completed > other.completed;
  return countFirstEvents(one) > countFirstEvents(other);
}

function countFirstEvents({ prompts }: EstimateCounts): number {
  return prompts.uncached.samples + prompts.cached.samples;
}
