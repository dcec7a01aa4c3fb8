/** Checks samples against staleness bounds. */
import type { CompletedSample } from "./sample.ts";
import type { StalenessBound } from "./step_spec.ts";

/** Fields of a sample that determine its staleness. */
export type SampleAge = Pick<CompletedSample, "versions" | "firstTokenAt">;

/** Weight of the latest interval between announced versions. */
const EWMA_WEIGHT = 0.3;

/**
 * Tracks the newest announced version of a model and the mean interval
 * between versions.
 *
 * @example
 * ```ts
 * const gate = new StalenessGate();
 * gate.announce(7, Date.now());
 * gate.requiredVersion({ maxVersionsBehind: 1 }); // 6
 * ```
 */
export class StalenessGate {
  #newest: number | undefined;
  #announcedAt = 0;
  #intervalMs: number | undefined;

  /** Gets the newest announced version; undefined before the first. */
  get newest(): number | undefined {
    return this.#newest;
  }

  /**
   * Records an announced version.
   * @returns False if the version is not newer than the newest one.
   */
  announce(version: number, now: number): boolean {
    const previous = this.#newest;
    if (previous !== undefined && version <= previous) return false;
    if (previous !== undefined) {
      const interval = (now - this.#announcedAt) / (version - previous);
      this.#intervalMs = this.#intervalMs === undefined
        ? interval
        : this.#intervalMs + EWMA_WEIGHT * (interval - this.#intervalMs);
    }
    this.#newest = version;
    this.#announcedAt = now;
    return true;
  }

  /** Gets the minimum version of a sample now; undefined for any. */
  requiredVersion(bound: StalenessBound): number | undefined {
    if (this.#newest === undefined) return undefined;
    return this.#newest - bound.maxVersionsBehind;
  }

  /**
   * Gets the minimum version that will probably be required at a later time,
   * by extrapolating the interval between announcements.
   */
  preferredVersion(bound: StalenessBound, at: number): number | undefined {
    const required = this.requiredVersion(bound);
    if (required === undefined || this.#intervalMs === undefined) {
      return required;
    }
    const elapsed = Math.max(0, at - this.#announcedAt);
    const expectedVersions = Math.floor(
      elapsed / Math.max(1, this.#intervalMs),
    );
    return Math.min(this.#newest ?? required, required + expectedVersions);
  }

  /** Gets whether a sample is within its staleness bound at a time. */
  isFresh(sample: SampleAge, bound: StalenessBound, now: number): boolean {
    const oldest = Math.min(...sample.versions);
    const required = this.requiredVersion(bound);
    if (required !== undefined && oldest < required) return false;
    if (bound.maxAgeMs === undefined) return true;
    return now - sample.firstTokenAt <= bound.maxAgeMs;
  }
}
