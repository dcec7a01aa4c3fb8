/** Which targets probably hold a prompt prefix in their cache. */
import { LRUCache } from "lru-cache";

/** Prefixes remembered. */
const MAX_PREFIXES = 20_000;
/** Targets remembered for each prefix. */
const MAX_HOLDERS = 8;

/**
 * Remembers placements by prefix and takes in cache events.
 *
 * Cache events come late and with gaps: an eviction removes a holder, and a
 * gap in the sequence of a target removes all that was believed of it.
 *
 * @example
 * ```ts
 * const map = new PrefixMap();
 * map.onPlaced("p1", "target-1").holdersOf("p1"); // ["target-1"]
 * ```
 */
export class PrefixMap {
  readonly #holders = new LRUCache<string, string[]>({ max: MAX_PREFIXES });
  readonly #sequences = new Map<string, number>();

  /** Gets the targets that probably hold a prefix, latest first. */
  holdersOf(prefix: string): readonly string[] {
    return this.#holders.get(prefix) ?? [];
  }

  /** Records that a request with a prefix was placed on a target. */
  onPlaced(prefix: string, targetId: string): this {
    const others = this.holdersOf(prefix).filter((id) => id !== targetId);
    this.#holders.set(prefix, [targetId, ...others].slice(0, MAX_HOLDERS));
    return this;
  }

  /** Records that a target dropped a prefix from its cache. */
  onEvicted(prefix: string, targetId: string): this {
    const remaining = this.holdersOf(prefix).filter((id) => id !== targetId);
    this.#holders.set(prefix, remaining);
    return this;
  }

  /** Checks the sequence number of a target's cache event. */
  onSequence(targetId: string, sequence: number): this {
    const last = this.#sequences.get(targetId);
    this.#sequences.set(targetId, sequence);
    if (last === undefined || sequence === last + 1) return this;
    return this.forget(targetId);
  }

  /** Forgets all that was believed of a target. */
  forget(targetId: string): this {
    for (const [prefix, ids] of this.#holders.entries()) {
      if (!ids.includes(targetId)) continue;
      this.#holders.set(prefix, ids.filter((id) => id !== targetId));
    }
    return this;
  }
}
