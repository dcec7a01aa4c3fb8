/** Bounds the targets on which an unproven request runs at once. */
import { LRUCache } from "lru-cache";

/** Targets that may run one fingerprint before it has finished once. */
const MAX_TARGETS_UNPROVEN = 2;
/** Fingerprints remembered as harmless. */
const MAX_HARMLESS = 50_000;

/**
 * Keeps a request that may crash its targets from running on many at once.
 *
 * @example
 * ```ts
 * const spread = new FingerprintSpread();
 * spread.onStart("f1", "target-1");
 * spread.mayRunOn("f1", "target-1"); // true
 * ```
 */
export class FingerprintSpread {
  readonly #harmless = new LRUCache<string, true>({ max: MAX_HARMLESS });
  readonly #running = new Map<string, Map<string, number>>();

  /** Gets whether a fingerprint may start on a target now. */
  mayRunOn(fingerprint: string, targetId: string): boolean {
    if (this.#harmless.has(fingerprint)) return true;
    const targets = this.#running.get(fingerprint);
    if (targets === undefined || targets.has(targetId)) return true;
    return targets.size < MAX_TARGETS_UNPROVEN;
  }

  /** Gets whether a fingerprint runs anywhere. */
  isRunning(fingerprint: string): boolean {
    return this.#running.has(fingerprint);
  }

  /** Records a start. */
  onStart(fingerprint: string, targetId: string): this {
    const targets = this.#running.get(fingerprint) ?? new Map();
    targets.set(targetId, (targets.get(targetId) ?? 0) + 1);
    this.#running.set(fingerprint, targets);
    return this;
  }

  /** Records an end; a whole answer shows the fingerprint to be harmless. */
  onEnd(fingerprint: string, targetId: string, isWhole = false): this {
    if (isWhole) this.#harmless.set(fingerprint, true);
    const targets = this.#running.get(fingerprint);
    const left = (targets?.get(targetId) ?? 0) - 1;
    if (left > 0) targets?.set(targetId, left);
    else targets?.delete(targetId);
    if (targets?.size === 0) this.#running.delete(fingerprint);
    return this;
  }

  /** Records that a fingerprint is under suspicion again. */
  onSuspect(fingerprint: string): this {
    this.#harmless.delete(fingerprint);
    return this;
  }
}
