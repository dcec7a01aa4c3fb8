/** Measures how fast targets run items and backs off from failing ones. */

interface PaceStats {
  paceMs: number;
  samples: number;
  lastSampleAt: number;
  avoidedUntil: number;
  failures: number;
}

const DEFAULT_PACE_MS = 60;
const EWMA_WEIGHT = 0.2;
/** Number of events from which the pace of a target counts as measured. */
const MIN_SAMPLES = 5;
/** Time without an event after which a measured pace expires. */
const STALE_MS = 3_000;
/** Ratio to the median pace above which a target counts as slow. */
const SLOW_RATIO = 2;
const FIRST_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 2_000;

/** Tracks the pace of targets, and which to avoid until when. */
export class TargetPace {
  readonly #stats = new Map<string, PaceStats>();
  /** Cached median, since it is read for each pair of item and target. */
  #median: { readonly at: number; readonly paceMs: number } | undefined;

  /** Records the time between two events of a run, in milliseconds. */
  onEventGap(target: string, gapMs: number, now: number): this {
    const stats = this.#statsOf(target);
    this.#median = undefined;
    if (now - stats.lastSampleAt > STALE_MS) stats.samples = 0;
    stats.lastSampleAt = now;
    const weight = Math.max(EWMA_WEIGHT, 1 / (stats.samples + 1));
    stats.paceMs += weight * (gapMs - stats.paceMs);
    stats.samples += 1;
    return this;
  }

  /** Records a completed run, which resets the backoff. */
  onCompleted(target: string): this {
    this.#statsOf(target).failures = 0;
    return this;
  }

  /** Records a failure and avoids the target with exponential backoff. */
  onFailure(target: string, now: number): this {
    const stats = this.#statsOf(target);
    const backoffMs = FIRST_BACKOFF_MS * 2 ** Math.min(stats.failures, 6);
    stats.failures += 1;
    return this.avoid(target, now + Math.min(MAX_BACKOFF_MS, backoffMs));
  }

  /** Avoids a target until a time. */
  avoid(target: string, until: number): this {
    const stats = this.#statsOf(target);
    stats.avoidedUntil = Math.max(stats.avoidedUntil, until);
    return this;
  }

  /** Gets whether a target should be avoided now. */
  isAvoided(target: string, now: number): boolean {
    return now < (this.#stats.get(target)?.avoidedUntil ?? -Infinity);
  }

  /**
   * Gets the mean time between two events at a target, in milliseconds; the
   * median of all targets if it has no current measurement.
   */
  paceMs(target: string, now: number): number {
    const stats = this.#stats.get(target);
    const isMeasured = stats !== undefined && isCurrent(stats, now);
    return isMeasured ? stats.paceMs : this.medianPaceMs(now);
  }

  /** Gets whether a target is much slower than the median. */
  isSlow(target: string, now: number): boolean {
    return this.paceMs(target, now) > SLOW_RATIO * this.medianPaceMs(now);
  }

  /** Gets the median pace of the measured targets, in milliseconds. */
  medianPaceMs(now: number): number {
    if (this.#median?.at !== now) {
      this.#median = { at: now, paceMs: this.#findMedian(now) };
    }
    return this.#median.paceMs;
  }

  #findMedian(now: number): number {
    const paces = [...this.#stats.values()]
      .filter((stats) => isCurrent(stats, now))
      .map((stats) => stats.paceMs)
      .sort((a, b) => a - b);
    return paces[Math.floor(paces.length / 2)] ?? DEFAULT_PACE_MS;
  }

  /** Removes all targets except the given ones. */
  keepOnly(targets: ReadonlySet<string>): this {
    this.#median = undefined;
    for (const id of this.#stats.keys()) {
      if (!targets.has(id)) this.#stats.delete(id);
    }
    return this;
  }

  #statsOf(target: string): PaceStats {
    let stats = this.#stats.get(target);
    if (stats !== undefined) return stats;
    stats = {
      paceMs: DEFAULT_PACE_MS,
      samples: 0,
      lastSampleAt: -Infinity,
      avoidedUntil: -Infinity,
      failures: 0,
    };
    this.#stats.set(target, stats);
    return stats;
  }
}

function isCurrent(stats: PaceStats, now: number): boolean {
  return stats.samples >= MIN_SAMPLES && now - stats.lastSampleAt < STALE_MS;
}
