/** Summary of the paces of all targets of a service. */
import {
  hasInherent,
  isCurrent,
  type PaceStats,
  recentMsOf,
} from "./pace_stats.ts";
import { percentileOf } from "../statistics/mod.ts";

/** Summary of the paces of the targets of one service. */
export interface ServiceSummary {
  readonly at: number;
  /** Median long-run pace, in milliseconds; undefined if none is known. */
  readonly medianMs: number | undefined;
  /** Pace at the slow end; undefined if too few targets are known. */
  readonly slowEndMs: number | undefined;
  /** Median ratio of recent to long-run pace, at least 1. */
  readonly medianRatio: number;
}

/** Percentile of the long-run paces that is the slow end of a service. */
const SLOW_END = 0.9;
/** Number of targets with a long-run pace from which a slow end is known. */
const MIN_SLOW_END_TARGETS = 2;
/** Number of targets from which a delay of most is one of this process. */
const MIN_RATIO_TARGETS = 3;

/**
 * Summarizes the paces of the targets of one service.
 *
 * @example
 * ```ts
 * summarizePaces(targets, now).medianMs;
 * ```
 */
export function summarizePaces(
  targets: readonly PaceStats[],
  now: number,
): ServiceSummary {
  const known = targets.filter(hasInherent);
  const paces = known.map(({ inherentMs }) => inherentMs);
  const ratios = known.filter((stats) => isCurrent(stats, now))
    .map((stats) => recentMsOf(stats, now) / stats.inherentMs);
  return {
    at: now,
    medianMs: percentileOf(paces, 0.5),
    slowEndMs: paces.length < MIN_SLOW_END_TARGETS
      ? undefined
      : percentileOf(paces, SLOW_END),
    medianRatio: ratios.length < MIN_RATIO_TARGETS
      ? 1
      : Math.max(1, percentileOf(ratios, 0.5) ?? 1),
  };
}
