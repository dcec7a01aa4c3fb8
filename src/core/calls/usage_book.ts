/** Requests begun on all entry instances, by window. */
import type { UsageWindows } from "./usage_counter.ts";

/** Windows that are remembered. */
const KEPT_WINDOWS = 24;

/** Adds up what entry instances tell; each telling replaces the former. */
export class UsageBook {
  readonly #windows = new Map<
    number,
    Map<string, Readonly<Record<string, number>>>
  >();

  /** Records what one life of an instance has counted. */
  learn(teller: string, usage: UsageWindows): this {
    for (const [key, counts] of Object.entries(usage)) {
      const window = Number(key);
      let tellers = this.#windows.get(window);
      if (tellers === undefined) {
        tellers = new Map();
        this.#windows.set(window, tellers);
      }
      tellers.set(teller, counts);
    }
    this.#forget();
    return this;
  }

  /** Gets the first window that anything was told of. */
  get firstWindow(): number | undefined {
    const windows = [...this.#windows.keys()];
    return windows.length === 0 ? undefined : Math.min(...windows);
  }

  /** Gets the sums of a window, by workspace. */
  sumsOf(window: number): Record<string, number> {
    const sums: Record<string, number> = {};
    for (const counts of this.#windows.get(window)?.values() ?? []) {
      for (const [workspace, count] of Object.entries(counts)) {
        sums[workspace] = (sums[workspace] ?? 0) + count;
      }
    }
    return sums;
  }

  #forget(): void {
    const excess = this.#windows.size - KEPT_WINDOWS;
    if (excess <= 0) return;
    const oldest = [...this.#windows.keys()].sort((a, b) => a - b);
    for (const window of oldest.slice(0, excess)) this.#windows.delete(window);
  }
}
