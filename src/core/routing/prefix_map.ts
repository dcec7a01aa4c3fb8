/** Map from prompt prefixes to the targets that probably cache them. */
import { LRUCache } from "lru-cache";

/** Maximum number of prefixes. */
const MAX_PREFIXES = 20_000;
/** Maximum number of targets for each prefix. */
const MAX_HOLDERS = 8;

/**
 * Tracks the holders of prefixes from placements and cache events.
 *
 * Cache events can be late or lost: an eviction removes one holder, and a gap
 * in the sequence of a target removes the target from all prefixes.
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

  /** Gets the targets that probably cache a prefix, most recent first. */
  holdersOf(prefix: string): readonly string[] {
    return this.#holders.get(prefix) ?? [];
  }

  /** Records that a request with a prefix was placed on a target. */
  onPlaced(prefix: string, targetId: string): this {
    const others = this.holdersOf(prefix).filter((id) => id !== targetId);
    this.#holders.set(prefix, [targetId, ...others].slice(0, MAX_HOLDERS));
    return this;
  }

  /** Records that a target evicted a prefix from its cache. */
  onEvicted(prefix: string, targetId: string): this {
    const remaining = this.holdersOf(prefix).filter((id) => id !== targetId);
    this.#holders.set(prefix, remaining);
    return this;
  }

  /** Checks the sequence number of a cache event; a gap resets the target. */
  onSequence(targetId: string, sequence: number): this {
    const last = this.#sequences.get(targetId);
    this.#sequences.set(targetId, sequence);
    if (last === undefined || sequence === last + 1) return this;
    return this.forget(targetId);
  }

  /** Removes a target from all prefixes. */
  forget(targetId: string): this {
    for (const [prefix, ids] of this.#holders.entries()) {
      if (!ids.includes(targetId)) continue;
      this.#holders.set(prefix, ids.filter((id) => id !== targetId));
    }
    return this;
  }
}
