/** Totals of the requests started on all entry instances, by window. */
import type { UsageWindows } from "./usage_counter.ts";

/** Maximum number of windows; the oldest are evicted. */
const MAX_WINDOWS = 24;

/** Sums the counts of entry instances; a report replaces earlier ones. */
export class UsageTotals {
  readonly #windows = new Map<
    number,
    Map<string, Readonly<Record<string, number>>>
  >();

  /**
   * Records the counts of an entry instance.
   * @param reporter - Identifies an instance and its incarnation, so that the
   *   counts of a restarted instance add to those before the restart.
   * @param usage - Counts of the latest windows.
   */
  record(reporter: string, usage: UsageWindows): this {
    for (const [key, counts] of Object.entries(usage)) {
      const window = Number(key);
      let reporters = this.#windows.get(window);
      if (reporters === undefined) {
        reporters = new Map();
        this.#windows.set(window, reporters);
      }
      reporters.set(reporter, counts);
    }
    this.#evictOldest();
    return this;
  }

  /** Gets the oldest window with counts; undefined if there is none. */
  get firstWindow(): number | undefined {
    const windows = [...this.#windows.keys()];
    return windows.length === 0 ? undefined : Math.min(...windows);
  }

  /** Gets the totals of a window, by workspace. */
  sumsOf(window: number): Record<string, number> {
    const sums: Record<string, number> = {};
    for (const counts of this.#windows.get(window)?.values() ?? []) {
      for (const [workspace, count] of Object.entries(counts)) {
        sums[workspace] = (sums[workspace] ?? 0) + count;
      }
    }
    return sums;
  }

  #evictOldest(): void {
    const excess = this.#windows.size - MAX_WINDOWS;
    if (excess <= 0) return;
    const oldest = [...this.#windows.keys()].sort((a, b) => a - b);
    for (const window of oldest.slice(0, excess)) this.#windows.delete(window);
  }
}
