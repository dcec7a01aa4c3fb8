/** Decides whether samples are fresh. */
import type { MadeSample } from "./sample.ts";
import type { StalenessBound } from "./step_spec.ts";

/** Part of a sample that the decision looks at. */
export type SampleAge = Pick<MadeSample, "versions" | "firstTokenAt">;

const EWMA_WEIGHT = 0.3;

/**
 * Keeps the newest announced version of a model and its rhythm.
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

  /** Gets the newest announced version. */
  get newest(): number | undefined {
    return this.#newest;
  }

  /** Takes in an announcement; an older one changes nothing. */
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

  /** Gets the oldest version that a sample may have now. */
  requiredVersion(bound: StalenessBound): number | undefined {
    if (this.#newest === undefined) return undefined;
    return this.#newest - bound.maxVersionsBehind;
  }

  /** Gets the version that will probably be required at a later time. */
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

  /** Gets whether a sample is within its bound at a time. */
  isFresh(sample: SampleAge, bound: StalenessBound, now: number): boolean {
    const oldest = Math.min(...sample.versions);
    const required = this.requiredVersion(bound);
    if (required !== undefined && oldest < required) return false;
    if (bound.maxAgeMs === undefined) return true;
    return now - sample.firstTokenAt <= bound.maxAgeMs;
  }
}
