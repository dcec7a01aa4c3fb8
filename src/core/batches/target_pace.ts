/** Measures how fast targets run items and backs off from failing ones. */
import {
  addInherent,
  addRecent,
  areMostLate,
  hasInherent,
  isCurrent,
  MIN_INHERENT_SAMPLES,
  MIN_RECENT_SAMPLES,
  type PaceStats,
  recentMsOf,
} from "./pace_stats.ts";
import type { TargetPaceRecord } from "./known_paces.ts";
import { type PacedTarget, PaceTable } from "./pace_table.ts";

export type { PacedTarget } from "./pace_table.ts";

/** Time between two events of a run. */
export interface PaceSample {
  readonly gapMs: number;
  /** Share of the target's slots that other runs used, from 0. */
  readonly load: number;
  /** Number of runs at the target, with this one. */
  readonly runs: number;
  /** Current time, in milliseconds. */
  readonly now: number;
}

const DEFAULT_PACE_MS = 60;
/** Ratio of recent to long-run pace above which a target is degraded. */
const DEGRADED_RATIO = 3;
/** Time for which a target is degraded before its runs are moved. */
const PERSISTENCE_MS = 200;
/** Ratio to the slow end of its service above which a new target is degraded. */
const DEGRADED_SERVICE_RATIO = 3.5;
/** Ratio to the long-run pace from which the recent pace is expected to last. */
const CHANGED_RATIO = 1.5;
/** Time after which a changed pace becomes the long-run pace. */
const ADOPTION_MS = 15_000;
/** As {@link ADOPTION_MS}, for a target that was never seen healthy. */
const NEW_ADOPTION_MS = 5_000;
/** Share by which a run takes longer at a target whose slots are all in use. */
const LOAD_SLOWDOWN = 0.2;
const FIRST_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 2_000;

/**
 * Gets the factor by which other runs at a target lengthen a run.
 *
 * @example
 * ```ts
 * loadFactorOf(0.5); // 1.1
 * ```
 */
export function loadFactorOf(load: number): number {
  return 1 + LOAD_SLOWDOWN * load;
}

/**
 * Tracks the long-run and the recent pace of targets, and which to avoid until
 * when. Paces are those of a run alone at the target.
 *
 * @example
 * ```ts
 * pace.onEventGap(target, { gapMs: 20, load: 0.5, runs: 5, now });
 * pace.isDegraded(target, now); // false
 * ```
 */
export class TargetPace {
  readonly #table = new PaceTable();

  /** Records the time between two events of a run. */
  onEventGap(target: PacedTarget, sample: PaceSample): this {
    const stats = this.#table.getOrCreate(target);
    if (target.incarnation < stats.incarnation) return this;
    const { now } = sample;
    const gapMs = sample.gapMs / loadFactorOf(sample.load);
    addRecent(stats, gapMs, sample);
    const isConfirmed = stats.recentSamples >= MIN_RECENT_SAMPLES;
    if (stats.degradedSince !== undefined && !isConfirmed) return this;
    stats.degradedSince = this.#isDegraded(stats, now)
      ? stats.degradedSince ?? now
      : undefined;
    if (this.#isChanged(stats, now)) return this.#onChanged(stats, now);
    stats.changedSince = undefined;
    addInherent(stats, gapMs, now);
    if (stats.inherentSamples === MIN_INHERENT_SAMPLES) {
      this.#table.forgetSummary(stats.service);
    }
    return this;
  }

  /** Gets whether the recent pace does not reflect the long-run pace. */
  #isChanged(stats: PaceStats, now: number): boolean {
    if (!hasInherent(stats)) return stats.degradedSince !== undefined;
    const { medianRatio } = this.#table.summaryOf(stats.service, now);
    const usualMs = medianRatio * stats.inherentMs;
    return recentMsOf(stats, now) > CHANGED_RATIO * usualMs;
  }

  /** Adopts the pace of a target once it has lasted. */
  #onChanged(stats: PaceStats, now: number): this {
    stats.changedSince ??= now;
    const adoptionMs = hasInherent(stats) ? ADOPTION_MS : NEW_ADOPTION_MS;
    if (now - stats.changedSince < adoptionMs) return this;
    stats.inherentMs = stats.recentMs;
    stats.inherentSamples = MIN_INHERENT_SAMPLES;
    stats.inherentAt = now;
    stats.changedSince = undefined;
    stats.degradedSince = undefined;
    this.#table.forgetSummary(stats.service);
    return this;
  }

  /**
   * Records that this process stalled: no event was measured meanwhile, so a
   * degraded target must remain degraded for the full time again.
   */
  onStalled(now: number): this {
    for (const stats of this.#table.all) {
      if (stats.degradedSince !== undefined) stats.degradedSince = now;
    }
    return this;
  }

  /** Records a completed run, which resets the backoff. */
  onCompleted(target: PacedTarget): this {
    this.#table.getOrCreate(target).failures = 0;
    return this;
  }

  /** Records a failure and avoids the target with exponential backoff. */
  onFailure(target: PacedTarget, now: number): this {
    const stats = this.#table.getOrCreate(target);
    const backoffMs = FIRST_BACKOFF_MS * 2 ** Math.min(stats.failures, 6);
    stats.failures += 1;
    return this.avoid(target, now + Math.min(MAX_BACKOFF_MS, backoffMs));
  }

  /** Avoids a target until a time. */
  avoid(target: PacedTarget, until: number): this {
    const stats = this.#table.getOrCreate(target);
    stats.avoidedUntil = Math.max(stats.avoidedUntil, until);
    return this;
  }

  /** Gets whether a target should be avoided now. */
  isAvoided(target: PacedTarget, now: number): boolean {
    return now < (this.#table.getAny(target.id)?.avoidedUntil ?? -Infinity);
  }

  /**
   * Gets the expected time per event of a run alone at a target, in
   * milliseconds: its long-run pace unless its recent pace is far beyond it.
   */
  paceMs(target: PacedTarget, now: number): number {
    const stats = this.#table.get(target);
    if (stats === undefined) return this.#medianMs(target.service, now);
    const inherentMs = this.inherentPaceMs(target, now);
    if (!isCurrent(stats, now)) return inherentMs;
    const recentMs = recentMsOf(stats, now);
    return recentMs > CHANGED_RATIO * inherentMs ? recentMs : inherentMs;
  }

  /**
   * Gets the long-run time per event of a run alone at a target, in
   * milliseconds; the median of its service if it is unknown.
   */
  inherentPaceMs(target: PacedTarget, now: number): number {
    const stats = this.#table.get(target);
    if (stats !== undefined && hasInherent(stats)) return stats.inherentMs;
    const isMeasured = stats !== undefined && isCurrent(stats, now);
    if (!isMeasured || this.#isDegraded(stats, now)) {
      return this.#medianMs(target.service, now);
    }
    return stats.recentMs;
  }

  /** Gets whether the long-run pace of a target is known. */
  isPaceKnown(target: PacedTarget): boolean {
    const stats = this.#table.get(target);
    return stats !== undefined && hasInherent(stats);
  }

  /** Gets whether a target is far slower now than it is in the long run. */
  isDegraded(target: PacedTarget, now: number): boolean {
    const stats = this.#table.get(target);
    return stats !== undefined && this.#isDegraded(stats, now);
  }

  /**
   * Gets whether a target is degraded, was at each event for a while, and is so by
   * most of its events: a few late ones, as after lost packets, raise the mean
   * of a target with few runs as much.
   */
  isPersistentlyDegraded(target: PacedTarget, now: number): boolean {
    const stats = this.#table.get(target);
    const since = stats?.degradedSince;
    if (stats === undefined || since === undefined) return false;
    if (now - since < PERSISTENCE_MS) return false;
    if (hasInherent(stats) && !areMostLate(stats)) return false;
    return this.#isDegraded(stats, now);
  }

  /** Gets whether a target was degraded, and no events show that it recovered. */
  isRecovering(target: PacedTarget, now: number): boolean {
    const stats = this.#table.get(target);
    return stats?.degradedSince !== undefined && !this.#isDegraded(stats, now);
  }

  /** Gets all known long-run paces. */
  save(now: number): TargetPaceRecord[] {
    return this.#table.save(now);
  }

  /**
   * Takes over long-run paces that were measured later than the own ones. Those
   * of other incarnations have no effect.
   */
  load(records: readonly TargetPaceRecord[], now: number): this {
    this.#table.load(records, now);
    return this;
  }

  /** Removes all targets except the given ones. */
  keepOnly(targets: ReadonlySet<string>): this {
    this.#table.keepOnly(targets);
    return this;
  }

  #isDegraded(stats: PaceStats, now: number): boolean {
    if (stats.recentSamples < MIN_RECENT_SAMPLES) return false;
    const { slowEndMs, medianRatio } = this.#table.summaryOf(
      stats.service,
      now,
    );
    const recentMs = recentMsOf(stats, now);
    // A delay of this process shows at all targets; their median cancels it.
    if (hasInherent(stats)) {
      return recentMs > DEGRADED_RATIO * medianRatio * stats.inherentMs;
    }
    if (slowEndMs === undefined || !isCurrent(stats, now)) return false;
    return recentMs > DEGRADED_SERVICE_RATIO * medianRatio * slowEndMs;
  }

  #medianMs(service: string, now: number): number {
    return this.#table.summaryOf(service, now).medianMs ?? DEFAULT_PACE_MS;
  }
}
