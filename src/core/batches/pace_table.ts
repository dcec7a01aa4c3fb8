/** The paces of all targets, with those that an earlier leader has measured. */
import { MAX_PACE_AGE_MS, type TargetPaceRecord } from "./known_paces.ts";
import {
  createPaceStats,
  hasInherent,
  MIN_INHERENT_SAMPLES,
  type PaceStats,
} from "./pace_stats.ts";
import { type ServiceSummary, summarizePaces } from "./pace_summary.ts";

/** A target whose pace is measured. */
export interface PacedTarget {
  readonly id: string;
  readonly service: string;
  readonly incarnation: number;
}

/** Time for which the summary of a service is reused. */
const SUMMARY_VALIDITY_MS = 100;

/**
 * Holds the measurements of each target, by incarnation.
 *
 * @example
 * ```ts
 * table.load(records, now);
 * table.getOrCreate({ id: "t1", service: "app", incarnation: 3 });
 * ```
 */
export class PaceTable {
  readonly #stats = new Map<string, PaceStats>();
  readonly #summaries = new Map<string, ServiceSummary>();
  /** Loaded paces of targets that have not been requested yet. */
  readonly #loaded = new Map<string, PaceStats>();

  /** Gets the measurements of all targets. */
  get all(): Iterable<PaceStats> {
    return this.#stats.values();
  }

  /** Gets the measurements of a target, of any incarnation. */
  getAny(id: string): PaceStats | undefined {
    return this.#stats.get(id);
  }

  /** Gets the measurements of a target's incarnation. */
  get({ id, incarnation }: PacedTarget): PaceStats | undefined {
    const stats = this.#stats.get(id);
    if (stats?.incarnation === incarnation) return stats;
    return this.#takeLoaded(id, incarnation);
  }

  /**
   * Gets the measurements of a target or creates them. A new incarnation starts
   * without paces; the backoff after failures is kept.
   */
  getOrCreate({ id, service, incarnation }: PacedTarget): PaceStats {
    const known = this.#stats.get(id);
    if (known !== undefined && known.incarnation >= incarnation) return known;
    return this.#takeLoaded(id, incarnation) ??
      this.#replace(id, createPaceStats(service, incarnation));
  }

  /** Removes all targets except the given ones. */
  keepOnly(targets: ReadonlySet<string>): void {
    this.#summaries.clear();
    for (const id of this.#stats.keys()) {
      if (!targets.has(id)) this.#stats.delete(id);
    }
  }

  /**
   * Gets all known long-run paces. Loaded ones that have become too old by now
   * are dropped, so this is to be called at intervals.
   */
  save(now: number): TargetPaceRecord[] {
    for (const [id, { inherentAt }] of this.#loaded) {
      if (now - inherentAt > MAX_PACE_AGE_MS) this.#loaded.delete(id);
    }
    return [...this.#stats].filter(([, stats]) => hasInherent(stats))
      .map(([id, { service, incarnation, inherentMs, inherentAt }]) => ({
        id,
        service,
        incarnation,
        paceMs: inherentMs,
        ageMs: Math.max(0, now - inherentAt),
      }));
  }

  /** Takes over long-run paces that were measured later than the own ones. */
  load(records: readonly TargetPaceRecord[], now: number): void {
    this.#loaded.clear();
    for (const record of records) {
      const loaded = createPaceStats(record.service, record.incarnation);
      loaded.inherentMs = record.paceMs;
      loaded.inherentSamples = MIN_INHERENT_SAMPLES;
      loaded.inherentAt = now - record.ageMs;
      this.#loaded.set(record.id, loaded);
    }
    for (const [id, { incarnation }] of [...this.#stats]) {
      this.#takeLoaded(id, incarnation);
    }
  }

  /** Gets a service's summary, at most {@link SUMMARY_VALIDITY_MS} old. */
  summaryOf(service: string, now: number): ServiceSummary {
    let summary = this.#summaries.get(service);
    if (summary !== undefined && now - summary.at < SUMMARY_VALIDITY_MS) {
      return summary;
    }
    const targets = [...this.#stats.values()]
      .filter((stats) => stats.service === service);
    summary = summarizePaces(targets, now);
    this.#summaries.set(service, summary);
    return summary;
  }

  /** Discards the summary of a service, as a pace has become known. */
  forgetSummary(service: string): void {
    this.#summaries.delete(service);
  }

  /** Takes over the loaded pace of a target's incarnation, if it is newer. */
  #takeLoaded(id: string, incarnation: number): PaceStats | undefined {
    const loaded = this.#loaded.get(id);
    if (loaded?.incarnation !== incarnation) return undefined;
    this.#loaded.delete(id);
    const known = this.#stats.get(id);
    if (known === undefined || known.incarnation < incarnation) {
      return this.#replace(id, loaded);
    }
    if (known.incarnation > incarnation) return undefined;
    const isOlder = hasInherent(known) && known.inherentAt >= loaded.inherentAt;
    return isOlder ? known : this.#replace(id, loaded);
  }

  #replace(id: string, stats: PaceStats): PaceStats {
    const known = this.#stats.get(id);
    stats.avoidedUntil = known?.avoidedUntil ?? -Infinity;
    stats.failures = known?.failures ?? 0;
    this.#stats.set(id, stats);
    if (hasInherent(stats)) this.forgetSummary(stats.service);
    return stats;
  }
}
