/** Counts requests that began to run, by window and workspace. */

/** Requests begun, by window number and workspace. */
export type UsageWindows = Readonly<
  Record<string, Readonly<Record<string, number>>>
>;

/** Windows for which counts are told. */
const MAX_WINDOWS = 5;

/** Keeps the counts of the latest windows. */
export class UsageCounter {
  readonly #windowMs: number;
  readonly #windows = new Map<number, Map<string, number>>();

  /** Creates a counter of windows of a length in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Counts a request that began at a time of day. */
  count(workspace: string, beganAt: number): this {
    const window = Math.floor(beganAt / this.#windowMs);
    let counts = this.#windows.get(window);
    if (counts === undefined) {
      counts = new Map();
      this.#windows.set(window, counts);
      this.#evictBefore(window - MAX_WINDOWS);
    }
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    return this;
  }

  /** Gets the counts of the latest windows. */
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
