/** Counts started requests, by window and workspace. */

/** Number of started requests, by window number and workspace. */
export type UsageWindows = Readonly<
  Record<string, Readonly<Record<string, number>>>
>;

/** Age in windows beyond which counts are evicted. */
const MAX_AGE_WINDOWS = 5;

/** Counts the requests of the latest windows. */
export class UsageCounter {
  readonly #windowMs: number;
  readonly #windows = new Map<number, Map<string, number>>();

  /** Creates a counter with windows of a length in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * Counts a request.
   * @param startedAt - Start time, in milliseconds since the Unix epoch.
   */
  count(workspace: string, startedAt: number): this {
    const window = Math.floor(startedAt / this.#windowMs);
    let counts = this.#windows.get(window);
    if (counts === undefined) {
      counts = new Map();
      this.#windows.set(window, counts);
      this.#evictBefore(window - MAX_AGE_WINDOWS);
    }
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    return this;
  }

  /** Gets the counts of the retained windows. */
  save(): UsageWindows {
    const saved: Record<string, Record<string, number>> = {};
    for (const [window, counts] of this.#windows) {
      saved[window] = Object.fromEntries(counts);
    }
    return saved;
  }

  #evictBefore(before: number): void {
    for (const window of this.#windows.keys()) {
      if (window < before) this.#windows.delete(window);
    }
  }
}
