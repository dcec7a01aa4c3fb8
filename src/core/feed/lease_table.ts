/** Leases granted by an instance, and the indexes in force at their holders. */

import type { HomeConfirmation } from "./feed_message.ts";

/** Confirmation sent by a lease holder with its renewal. */
export interface LeaseConfirmation {
  /** Lowest index in force at the holder and all its downstream instances. */
  readonly inForce: number;
  /**
   * Confirmations of home data centres, from the holder and its downstream
   * instances.
   */
  readonly homes?: readonly HomeConfirmation[];
}

interface Holder extends LeaseConfirmation {
  readonly until: number;
}

/**
 * Tracks lease holders until their leases expire.
 *
 * @example
 * ```ts
 * leases.grant("nl-1-b", { inForce: 7 }, { until: now + 3_000 });
 * leases.lowestInForce(now); // 7
 * ```
 */
export class LeaseTable {
  readonly #holders = new Map<string, Holder>();
  readonly #homes = new Map<string, number>();

  /** Records a granted lease. A grant never shortens an earlier one. */
  grant(
    holder: string,
    confirmation: LeaseConfirmation,
    options: { until: number },
  ): this {
    const existing = this.#holders.get(holder);
    const until = Math.max(options.until, existing?.until ?? -Infinity);
    this.#holders.set(holder, { ...confirmation, until });
    return this.confirm(confirmation.homes ?? []);
  }

  /** Records confirmations of home data centres. Lower indexes are ignored. */
  confirm(homes: readonly HomeConfirmation[]): this {
    for (const { dataCentre, inForce } of homes) {
      const previous = this.#homes.get(dataCentre) ?? -Infinity;
      this.#homes.set(dataCentre, Math.max(previous, inForce));
    }
    return this;
  }

  /** Gets the holders whose leases have not expired by the local clock. */
  holders(now: number): readonly string[] {
    this.#expire(now);
    return [...this.#holders.keys()];
  }

  /**
   * Gets the lowest index in force at all holders; Infinity without holders.
   */
  lowestInForce(now: number): number {
    this.#expire(now);
    let lowest = Infinity;
    for (const { inForce } of this.#holders.values()) {
      lowest = Math.min(lowest, inForce);
    }
    return lowest;
  }

  /** Gets the holders at which an index is not yet in force. */
  awaited(index: number, now: number): readonly string[] {
    this.#expire(now);
    return [...this.#holders]
      .filter(([, holder]) => holder.inForce < index)
      .map(([id]) => id);
  }

  /** Gets the index confirmed by a home data centre; -Infinity for none. */
  homeInForce(dataCentre: string): number {
    return this.#homes.get(dataCentre) ?? -Infinity;
  }

  /** Gets the confirmed index of every home data centre. */
  get homes(): readonly HomeConfirmation[] {
    return [...this.#homes]
      .map(([dataCentre, inForce]) => ({ dataCentre, inForce }));
  }

  #expire(now: number): void {
    for (const [id, { until }] of this.#holders) {
      if (until <= now) this.#holders.delete(id);
    }
  }
}
