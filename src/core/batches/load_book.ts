/** Which targets load weights now, as far as was told. */
import type { LoadedVersion, TargetReport } from "../registry/mod.ts";

interface OpenLoad {
  readonly model: string;
  readonly version: number;
  readonly until: number;
}

/** Time after which a load counts as ended although nobody said so. */
const LOAD_MS = 2_500;

/** Keeps the loads that have been ordered. */
export class LoadBook {
  readonly #loads = new Map<string, OpenLoad>();

  /** Records that a target has been ordered to load. */
  begin({ target, model, version }: LoadedVersion, now: number): this {
    this.#loads.set(target, { model, version, until: now + LOAD_MS });
    return this;
  }

  /** Gets whether a target loads the weights of a model. */
  isLoading(report: TargetReport, model: string, now: number): boolean {
    const load = this.#loads.get(report.id);
    if (load === undefined || load.model !== model) return false;
    const isOver = now > load.until ||
      (report.versions[model] ?? 0) >= load.version;
    if (isOver) this.#loads.delete(report.id);
    return !isOver;
  }
}
