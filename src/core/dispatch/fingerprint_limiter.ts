/** Limits the number of targets that run the same untested request. */
import { LRUCache } from "lru-cache";

/**
 * Maximum number of targets that run a fingerprint at once before it has
 * completed once.
 */
const MAX_TARGETS_UNTESTED = 2;
/** Maximum number of fingerprints remembered as safe. */
const MAX_SAFE_FINGERPRINTS = 50_000;

/**
 * Prevents a request that may crash targets from running on many at once.
 *
 * @example
 * ```ts
 * const limiter = new FingerprintLimiter();
 * limiter.onStart("f1", "target-1");
 * limiter.mayRunOn("f1", "target-1"); // true
 * ```
 */
export class FingerprintLimiter {
  readonly #safe = new LRUCache<string, true>({ max: MAX_SAFE_FINGERPRINTS });
  readonly #running = new Map<string, Map<string, number>>();

  /** Gets whether a fingerprint may start on a target. */
  mayRunOn(fingerprint: string, targetId: string): boolean {
    if (this.#safe.has(fingerprint)) return true;
    const targets = this.#running.get(fingerprint);
    if (targets === undefined || targets.has(targetId)) return true;
    return targets.size < MAX_TARGETS_UNTESTED;
  }

  /** Gets whether a fingerprint is running on any target. */
  isRunning(fingerprint: string): boolean {
    return this.#running.has(fingerprint);
  }

  /** Records that an attempt has started on a target. */
  onStart(fingerprint: string, targetId: string): this {
    const targets = this.#running.get(fingerprint) ?? new Map();
    targets.set(targetId, (targets.get(targetId) ?? 0) + 1);
    this.#running.set(fingerprint, targets);
    return this;
  }

  /** Records the end of an attempt; completion marks a fingerprint as safe. */
  onEnd(fingerprint: string, targetId: string, isCompleted = false): this {
    if (isCompleted) this.#safe.set(fingerprint, true);
    const targets = this.#running.get(fingerprint);
    const remaining = (targets?.get(targetId) ?? 0) - 1;
    if (remaining > 0) targets?.set(targetId, remaining);
    else targets?.delete(targetId);
    if (targets?.size === 0) this.#running.delete(fingerprint);
    return this;
  }

  /** Records that a fingerprint is under suspicion and no longer safe. */
  onSuspect(fingerprint: string): this {
    this.#safe.delete(fingerprint);
    return this;
  }
}
