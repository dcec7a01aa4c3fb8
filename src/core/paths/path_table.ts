/** Targets that an instance has lost while others still reach them. */
import { Path } from "./path.ts";

/** Interval between trials of a lost path, in milliseconds. */
const TRIAL_INTERVAL_MS = 500;
/** Targets lost in a row from which the instance itself counts as cut off. */
const MIN_LOST_TARGETS = 2;

/**
 * Tracks the direct paths that were lost.
 *
 * A path is lost if the target answers through another instance only: a target
 * that no instance reaches is no evidence about this instance. An instance that
 * has lost several in a row has probably lost all of them.
 *
 * @example
 * ```ts
 * table.onLost("10.0.0.7:8648", performance.now());
 * table.pathTo("10.0.0.7:8648"); // "relayed"
 * ```
 */
export class PathTable {
  /** Time of the last trial of each lost path, by address. */
  readonly #lost = new Map<string, number>();
  /** Addresses lost since a direct connection was last established. */
  readonly #lostInRow = new Set<string>();
  #lastTrialAt = -Infinity;
  /** Addresses that no path has led to since any connection was established. */
  readonly #unreachedInRow = new Set<string>();
  #lastAttemptAt = -Infinity;

  /** Gets whether the instance has probably lost all targets. */
  get isCutOff(): boolean {
    return this.#lostInRow.size >= MIN_LOST_TARGETS;
  }

  /**
   * Gets whether a connection should be attempted. While the instance is cut
   * off and other instances did not lead to several targets in a row either,
   * one attempt an interval is allowed.
   */
  allowAttempt(now: number): boolean {
    const isFutile = this.isCutOff &&
      this.#unreachedInRow.size >= MIN_LOST_TARGETS &&
      now - this.#lastAttemptAt < TRIAL_INTERVAL_MS;
    if (!isFutile) this.#lastAttemptAt = now;
    return !isFutile;
  }

  /** Gets the number of targets without a direct path. */
  get lostCount(): number {
    return this.#lost.size;
  }

  /** Gets the path by which a connection to an address is opened first. */
  pathTo(address: string): Path {
    return this.isCutOff || this.#lost.has(address)
      ? Path.Relayed
      : Path.Direct;
  }

  /**
   * Records that a target was reached through another instance and not directly.
   * @returns Whether its path was not known to be lost.
   */
  onLost(address: string, now: number): boolean {
    const isNew = !this.#lost.has(address);
    if (isNew) this.#lost.set(address, now);
    this.#lostInRow.add(address);
    return isNew;
  }

  /** Records that a target was reached by any path. */
  onReached(): this {
    this.#unreachedInRow.clear();
    return this;
  }

  /** Records that a target was reached by no path. */
  onUnreached(address: string): this {
    this.#unreachedInRow.add(address);
    return this;
  }

  /**
   * Records that a direct connection was established. The trials of all other
   * lost paths are due at once, since what cut them off has probably ended.
   * @returns Whether the path was known to be lost.
   */
  onDirect(address: string): boolean {
    const wasCutOff = this.isCutOff;
    this.#lostInRow.clear();
    const wasLost = this.#lost.delete(address);
    if (wasCutOff) {
      for (const other of this.#lost.keys()) this.#lost.set(other, -Infinity);
    }
    return wasLost;
  }

  /**
   * Takes the trial of a direct connection, if it is due: one an interval for
   * each lost path, or one for all of them while the instance is cut off.
   */
  takeTrial(address: string, now: number): boolean {
    const lastTrialAt = this.isCutOff
      ? this.#lastTrialAt
      : this.#lost.get(address) ?? now;
    if (now - lastTrialAt < TRIAL_INTERVAL_MS) return false;
    this.#lastTrialAt = now;
    if (this.#lost.has(address)) this.#lost.set(address, now);
    return true;
  }

  /** Removes all addresses except the given ones. */
  keepOnly(addresses: ReadonlySet<string>): this {
    for (const address of this.#lost.keys()) {
      if (addresses.has(address)) continue;
      this.#lost.delete(address);
      this.#lostInRow.delete(address);
    }
    return this;
  }
}
