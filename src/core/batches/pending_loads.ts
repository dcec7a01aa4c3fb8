/** Weight loads that have been ordered and are not known to have ended. */
import type { LoadedVersion, TargetReport } from "../registry/mod.ts";

interface PendingLoad {
  readonly model: string;
  readonly version: number;
  readonly expiresAt: number;
}

/** Time after which a load counts as ended without a report of its end. */
const LOAD_TIMEOUT_MS = 2_500;

/** Tracks the weight loads that targets have been ordered to do. */
export class PendingLoads {
  readonly #loads = new Map<string, PendingLoad>();

  /** Records that a target has been ordered to load a weight version. */
  onOrdered({ target, model, version }: LoadedVersion, now: number): this {
    this.#loads.set(target, {
      model,
      version,
      expiresAt: now + LOAD_TIMEOUT_MS,
    });
    return this;
  }

  /**
   * Gets whether a target is loading weights of a model: the load was ordered,
   * has not timed out, and the target does not yet report the version.
   */
  isLoading(report: TargetReport, model: string, now: number): boolean {
    const load = this.#loads.get(report.id);
    if (load === undefined || load.model !== model) return false;
    const isEnded = now > load.expiresAt ||
      (report.versions[model] ?? 0) >= load.version;
    if (isEnded) this.#loads.delete(report.id);
    return !isEnded;
  }
}
