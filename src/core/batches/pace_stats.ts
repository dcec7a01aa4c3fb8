/** Long-run and recent time between two events of the runs of a target. */

/** What is known of the pace and the failures of a target. */
export interface PaceStats {
  service: string;
  incarnation: number;
  /** Long-run time per event of a run alone at the target. */
  inherentMs: number;
  inherentSamples: number;
  /** Time at which the long-run pace was last measured. */
  inherentAt: number;
  /** Time per event at the last sample, of a run alone at the target. */
  recentMs: number;
  recentSamples: number;
  /** Which of the last gaps were late, as bits; see {@link LATE_GAPS}. */
  lateGaps: number;
  lastSampleAt: number;
  /** Time since which the recent pace has been far from the long-run pace. */
  changedSince: number | undefined;
  /**
   * Time since which the target was degraded at each sample; undefined if it
   * was not at the last conclusive sample.
   */
  degradedSince: number | undefined;
  avoidedUntil: number;
  failures: number;
}

/** Lower bound of the weight of an event in the recent pace. */
const RECENT_WEIGHT = 0.1;
/** Time constant of the recent pace; a longer gap has more weight. */
const RECENT_MS = 500;
/** Number of last gaps of which most must be late for runs to be moved. */
const LATE_GAPS = 5;
const LATE_GAPS_MASK = (1 << LATE_GAPS) - 1;
/** Ratio of a gap to the long-run pace from which it is late. */
const LATE_RATIO = 1.5;
/** Ratio below which a gap is left out: its event waited behind a late one. */
const WAITED_RATIO = 0.25;
const INHERENT_WEIGHT = 0.02;
/** Number of events from which the recent pace counts as measured. */
export const MIN_RECENT_SAMPLES = 5;
/** Number of events from which the long-run pace counts as measured. */
export const MIN_INHERENT_SAMPLES = 20;
/** Multiple of the long-run pace to which single gaps are limited in it. */
const MAX_GAP_RATIO = 4;
/**
 * As {@link MAX_GAP_RATIO}, in the recent pace: one late event, as after a lost
 * packet, does not make a target degraded.
 */
const MAX_RECENT_GAP_RATIO = 10;
/** Time without an event after which a recent pace expires. */
const STALE_MS = 3_000;
/** Time without an event after which a recent pace gradually decays. */
const DECAY_DELAY_MS = 500;
/** Time constant of that decay. */
const DECAY_MS = 2_000;

/** Creates the measurements of a target without events. */
export function createPaceStats(
  service: string,
  incarnation: number,
): PaceStats {
  return {
    service,
    incarnation,
    inherentMs: 0,
    inherentSamples: 0,
    inherentAt: -Infinity,
    recentMs: 0,
    recentSamples: 0,
    lateGaps: 0,
    lastSampleAt: -Infinity,
    changedSince: undefined,
    degradedSince: undefined,
    avoidedUntil: -Infinity,
    failures: 0,
  };
}

/** Adds the time between two events to the recent pace. */
export function addRecent(
  stats: PaceStats,
  gapMs: number,
  { runs, now }: { readonly runs: number; readonly now: number },
): void {
  if (now - stats.lastSampleAt > STALE_MS) stats.recentSamples = 0;
  stats.recentMs = recentMsOf(stats, now);
  const limitedMs = hasInherent(stats)
    ? Math.min(gapMs, MAX_RECENT_GAP_RATIO * stats.inherentMs)
    : gapMs;
  const weight = Math.max(
    RECENT_WEIGHT,
    1 / (stats.recentSamples + 1),
    1 - Math.exp(-limitedMs / (RECENT_MS * runs)),
  );
  addLateGap(stats, gapMs);
  stats.recentMs += weight * (limitedMs - stats.recentMs);
  stats.recentSamples += 1;
  stats.lastSampleAt = now;
}

function addLateGap(stats: PaceStats, gapMs: number): void {
  if (!hasInherent(stats)) return;
  const ratio = gapMs / stats.inherentMs;
  if (ratio < WAITED_RATIO) return;
  const late = ratio > LATE_RATIO ? 1 : 0;
  stats.lateGaps = ((stats.lateGaps << 1) | late) & LATE_GAPS_MASK;
}

/**
 * Gets whether most of the last gaps were late.
 *
 * @example
 * ```ts
 * areMostLate({ ...stats, lateGaps: 0b10110 }); // true
 * ```
 */
export function areMostLate({ lateGaps }: PaceStats): boolean {
  let late = 0;
  for (let bits = lateGaps; bits > 0; bits >>= 1) late += bits & 1;
  return 2 * late > LATE_GAPS;
}

/** Adds the time between two events to the long-run pace. */
export function addInherent(
  stats: PaceStats,
  gapMs: number,
  now: number,
): void {
  const limitedMs = hasInherent(stats)
    ? Math.min(gapMs, MAX_GAP_RATIO * stats.inherentMs)
    : gapMs;
  const weight = Math.max(INHERENT_WEIGHT, 1 / (stats.inherentSamples + 1));
  stats.inherentMs += weight * (limitedMs - stats.inherentMs);
  stats.inherentSamples += 1;
  stats.inherentAt = now;
}

/** Gets the recent pace, which tends to the long-run pace without events. */
export function recentMsOf(stats: PaceStats, now: number): number {
  if (!hasInherent(stats)) return stats.recentMs;
  const ageMs = Math.max(0, now - stats.lastSampleAt - DECAY_DELAY_MS);
  const excessMs = stats.recentMs - stats.inherentMs;
  return stats.inherentMs + excessMs * Math.exp(-ageMs / DECAY_MS);
}

/** Gets whether the long-run pace is known. */
export function hasInherent(stats: PaceStats): boolean {
  return stats.inherentSamples >= MIN_INHERENT_SAMPLES;
}

/** Gets whether the recent pace is known. */
export function isCurrent(stats: PaceStats, now: number): boolean {
  return stats.recentSamples >= MIN_RECENT_SAMPLES &&
    now - stats.lastSampleAt < STALE_MS;
}
