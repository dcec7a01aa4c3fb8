/** Permits of an instance that were fetched ahead. */

/** Options of {@link PermitStore.add}. */
export interface StoredPermitOptions {
  /** Time until which the permit is valid. */
  readonly expiresAt: number;
  /** Whether valid permits that the target already has expire no earlier. */
  readonly extendsOthers: boolean;
}

/**
 * Holds permits by target until they are used or expire.
 *
 * @example
 * ```ts
 * const store = new PermitStore();
 * store.add("t1/7", { expiresAt: now + 250, extendsOthers: false });
 * store.countOf("t1/7", now); // 1
 * ```
 */
export class PermitStore {
  /** Times of expiry by target, the earliest first. */
  readonly #expiries = new Map<string, number[]>();

  /** Adds a permit for one request to a target. */
  add(
    target: string,
    { expiresAt, extendsOthers }: StoredPermitOptions,
    now: number,
  ): this {
    this.#prune(now);
    const valid = this.#validOf(target, now)
      .map((at) => extendsOthers ? Math.max(at, expiresAt) : at);
    this.#expiries.set(target, [...valid, expiresAt].sort((a, b) => a - b));
    return this;
  }

  /** Gets the number of valid permits for a target. */
  countOf(target: string, now: number): number {
    return this.#validOf(target, now).length;
  }

  /**
   * Gets the time at which the permit that is used next expires; undefined if
   * there is none.
   */
  nextExpiry(target: string, now: number): number | undefined {
    return this.#validOf(target, now)[0];
  }

  /** Uses the permit for a target that expires first. */
  use(target: string, now: number): this {
    const [, ...left] = this.#validOf(target, now);
    if (left.length > 0) this.#expiries.set(target, left);
    else this.#expiries.delete(target);
    return this;
  }

  /** Removes the targets whose permits have all expired. */
  #prune(now: number): void {
    for (const [target, expiries] of this.#expiries) {
      if (expiries[expiries.length - 1] <= now) this.#expiries.delete(target);
    }
  }

  #validOf(target: string, now: number): number[] {
    return (this.#expiries.get(target) ?? []).filter((at) => now < at);
  }
}
