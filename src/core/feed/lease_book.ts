/** Leases that an instance has granted, and what is in force below it. */

import type { HomeConfirmation } from "./feed_message.ts";

/** Part of a renewal that the book keeps. */
export interface Confirmation {
  /** Least position in force at the holder and all below it. */
  readonly inForce: number;
  /** What home data centres have confirmed there and below. */
  readonly homes?: readonly HomeConfirmation[];
}

interface Holder extends Confirmation {
  readonly until: number;
}

/**
 * Remembers each holder until its lease has run out.
 *
 * @example
 * ```ts
 * book.grant("nl-1-b", { inForce: 7 }, { until: now + 3_000 });
 * book.leastInForce(now); // 7
 * ```
 */
export class LeaseBook {
  readonly #holders = new Map<string, Holder>();
  readonly #homes = new Map<string, number>();

  /** Records a lease; one that ends earlier never shortens another. */
  grant(
    holder: string,
    confirmation: Confirmation,
    options: { until: number },
  ): this {
    const known = this.#holders.get(holder);
    const until = Math.max(options.until, known?.until ?? -Infinity);
    this.#holders.set(holder, { ...confirmation, until });
    return this.confirm(confirmation.homes ?? []);
  }

  /** Records what home data centres have confirmed. */
  confirm(homes: readonly HomeConfirmation[]): this {
    for (const { dataCentre, inForce } of homes) {
      const former = this.#homes.get(dataCentre) ?? -Infinity;
      this.#homes.set(dataCentre, Math.max(former, inForce));
    }
    return this;
  }

  /** Gets the holders whose leases may still hold. */
  holders(now: number): readonly string[] {
    this.#expire(now);
    return [...this.#holders.keys()];
  }

  /** Gets the least position in force at all holders; Infinity for none. */
  leastInForce(now: number): number {
    this.#expire(now);
    let least = Infinity;
    for (const { inForce } of this.#holders.values()) {
      least = Math.min(least, inForce);
    }
    return least;
  }

  /** Gets the holders at which a position is not in force yet. */
  awaited(index: number, now: number): readonly string[] {
    this.#expire(now);
    return [...this.#holders]
      .filter(([, holder]) => holder.inForce < index)
      .map(([id]) => id);
  }

  /** Gets the position that a home data centre has confirmed. */
  homeInForce(dataCentre: string): number {
    return this.#homes.get(dataCentre) ?? -Infinity;
  }

  /** Gets what every home data centre has confirmed. */
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
