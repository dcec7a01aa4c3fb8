/** Permits for requests to targets that limit the rate of all instances. */
import { LRUCache } from "lru-cache";
import { TokenBucket } from "./token_bucket.ts";

/** A target that limits its requests, and how many a second it takes. */
export interface LimitedTarget {
  /** Target, named with its incarnation. */
  readonly target: string;
  readonly perSecond: number;
  /**
   * Requests that it may get at once after a pause; by default, those of
   * {@link BURST_S} at its rate.
   */
  readonly burst?: number | undefined;
}

/** Request for permits. */
export interface PermitRequest {
  /** Targets that may run the requests, the preferred ones first. */
  readonly targets: readonly LimitedTarget[];
  /** Number of requests. */
  readonly count: number;
  /** Longest time that a request can wait, in milliseconds. */
  readonly maxWaitMs: number;
}

/** Permit to send one request to a target. */
export interface Permit {
  readonly target: string;
  /** Time until it may be sent, in milliseconds. */
  readonly afterMs: number;
}

/** Reply to a {@link PermitRequest}. */
export interface PermitReply {
  /** At most as many permits as were asked for. */
  readonly permits: readonly Permit[];
  /** Time until one of the targets has another permit, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Requests that a target may get at once after a pause, in time of its rate. */
const BURST_S = 0.25;
const DEFAULT_MAX_TARGETS = 10_000;

/** Options of {@link PermitIssuer}. */
export interface PermitIssuerOptions {
  /** Number of targets whose permits are counted at the same time. */
  readonly maxTargets?: number;
}

/**
 * Grants permits at the rates that targets name. One issuer serves all
 * instances, so that their sum stays within the rate however the callers are
 * distributed.
 *
 * @example
 * ```ts
 * issuer.grant({
 *   targets: [{ target: "t1/7", perSecond: 2 }],
 *   count: 1,
 *   maxWaitMs: 100,
 * }, now); // { permits: [], retryAfterMs: 500 }
 * ```
 */
export class PermitIssuer {
  readonly #buckets: LRUCache<string, TokenBucket>;

  constructor({ maxTargets = DEFAULT_MAX_TARGETS }: PermitIssuerOptions = {}) {
    this.#buckets = new LRUCache({ max: maxTargets });
  }

  /** Grants up to the requested number of permits. */
  grant(
    { targets, count, maxWaitMs }: PermitRequest,
    now: number,
  ): PermitReply {
    const permits: Permit[] = [];
    for (let i = 0; i < count; i += 1) {
      const next = this.#shortestWait(targets, now);
      if (next === undefined || next.waitMs > maxWaitMs) break;
      this.#bucketOf(next.limited, now).refund(-1, now);
      permits.push({ target: next.limited.target, afterMs: next.waitMs });
    }
    const retryAfterMs = this.#shortestWait(targets, now)?.waitMs ?? 0;
    return { permits, retryAfterMs };
  }

  #shortestWait(
    targets: readonly LimitedTarget[],
    now: number,
  ): { limited: LimitedTarget; waitMs: number } | undefined {
    let best: { limited: LimitedTarget; waitMs: number } | undefined;
    for (const limited of targets) {
      const waitMs = this.#bucketOf(limited, now).waitMs(1, now);
      if (waitMs < (best?.waitMs ?? Infinity)) best = { limited, waitMs };
    }
    return best;
  }

  /** A new bucket is empty: the target has had requests without a permit. */
  #bucketOf(limited: LimitedTarget, now: number): TokenBucket {
    const { target, perSecond } = limited;
    const options = {
      ratePerSecond: perSecond,
      burst: limited.burst ?? Math.max(1, perSecond * BURST_S),
    };
    const existing = this.#buckets.get(target);
    if (existing !== undefined) {
      existing.levelAt(now);
      return existing.configure(options);
    }
    const bucket = new TokenBucket(options).refund(-options.burst, now);
    this.#buckets.set(target, bucket);
    return bucket;
  }
}
