/** Targets that have left, against reports of theirs that arrive late. */

/** An incarnation of a target that leaves or has left. */
export interface Departure {
  readonly target: string;
  readonly incarnation: number;
  /** Time at which it was told, in milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Time for which a departure is kept; later no report of it can arrive. */
const RETENTION_MS = 120_000;

/**
 * Keeps the departures that the control log has recorded of late.
 *
 * @example
 * ```ts
 * departures.record([{ target: "i-1", incarnation: 7, at: Date.now() }]);
 * departures.has("i-1", 7); // true
 * ```
 */
export class Departures {
  #byTarget = new Map<string, Departure>();

  /**
   * Records departures, and forgets those that are older than the retention
   * time before the latest one.
   * @returns Whether any was new.
   */
  record(departures: readonly Departure[]): boolean {
    const added = departures
      .filter(({ target, incarnation }) => !this.has(target, incarnation));
    for (const departure of added) {
      this.#byTarget.set(departure.target, departure);
    }
    if (added.length > 0) this.#forgetBefore(latestOf(added) - RETENTION_MS);
    return added.length > 0;
  }

  /** Gets whether an incarnation of a target, or a later one, has left. */
  has(target: string, incarnation: number): boolean {
    const departure = this.#byTarget.get(target);
    return departure !== undefined && departure.incarnation >= incarnation;
  }

  /** Gets the departures that are kept. */
  get all(): readonly Departure[] {
    return [...this.#byTarget.values()];
  }

  /** Replaces the departures with saved ones. */
  load(departures: readonly Departure[]): this {
    this.#byTarget = new Map(departures.map((d) => [d.target, d]));
    return this;
  }

  #forgetBefore(time: number): void {
    for (const { target, at } of this.#byTarget.values()) {
      if (at < time) this.#byTarget.delete(target);
    }
  }
}

function latestOf(departures: readonly Departure[]): number {
  return Math.max(...departures.map(({ at }) => at));
}
