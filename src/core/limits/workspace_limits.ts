/** Request, token and concurrency limits of one workspace on an instance. */
import type { LimitSettings } from "../configuration/mod.ts";
import { RefusalReason } from "../verdict/mod.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Refusal of a request by a limit. */
export interface LimitRefusal {
  /** Limit that refused the request. */
  readonly reason: RefusalReason;
  /** Time after which the request may be admitted, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Retry delay of refusals by the concurrency limit. */
const CONCURRENCY_RETRY_MS = 250;
/** Default burst, in seconds of the rate. */
const DEFAULT_BURST_SECONDS = 1;

/** Options of {@link WorkspaceLimits}. */
export interface WorkspaceLimitsOptions {
  /** Share of the configured limits that this instance applies, 0 to 1. */
  readonly share: number;
}

/**
 * Enforces the limits of a workspace.
 *
 * @example
 * ```ts
 * const limits = new WorkspaceLimits({ requestsPerSecond: 5 });
 * limits.admit(120, Date.now()); // undefined: admitted
 * ```
 */
export class WorkspaceLimits {
  #requests: TokenBucket | undefined;
  #tokens: TokenBucket | undefined;
  #concurrency = Infinity;
  #running = 0;

  /** Creates the limits of a workspace. */
  constructor(settings: LimitSettings, options?: WorkspaceLimitsOptions) {
    this.configure(settings, options);
  }

  /** Gets the number of admitted requests that have not been released. */
  get running(): number {
    return this.#running;
  }

  /** Changes the limits and keeps the current usage. */
  configure(settings: LimitSettings, options?: WorkspaceLimitsOptions): this {
    const share = options?.share ?? 1;
    this.#requests = configureBucket(this.#requests, {
      rate: settings.requestsPerSecond,
      burst: settings.burst,
      share,
    });
    this.#tokens = configureBucket(this.#tokens, {
      rate: settings.tokensPerSecond,
      share,
    });
    this.#concurrency = settings.concurrency === undefined
      ? Infinity
      : Math.max(1, Math.floor(settings.concurrency * share));
    return this;
  }

  /** Admits a request and returns undefined, or returns the refusal. */
  admit(estimatedTokens: number, now: number): LimitRefusal | undefined {
    if (this.#running >= this.#concurrency) {
      return {
        reason: RefusalReason.LimitConcurrency,
        retryAfterMs: CONCURRENCY_RETRY_MS,
      };
    }
    const requestWait = this.#requests?.waitMs(1, now) ?? 0;
    if (requestWait > 0) {
      return { reason: RefusalReason.LimitRequests, retryAfterMs: requestWait };
    }
    const tokenWait = this.#tokens?.waitMs(estimatedTokens, now) ?? 0;
    if (tokenWait > 0) {
      return { reason: RefusalReason.LimitTokens, retryAfterMs: tokenWait };
    }
    this.#requests?.tryTake(1, now);
    this.#tokens?.tryTake(estimatedTokens, now);
    this.#running += 1;
    return undefined;
  }

  /** Releases an admitted request and corrects its estimated tokens. */
  release(estimatedTokens: number, actualTokens: number, now: number): this {
    this.#running -= 1;
    this.#tokens?.refund(estimatedTokens - actualTokens, now);
    return this;
  }
}

interface BucketSettings {
  readonly rate?: number;
  readonly burst?: number;
  readonly share: number;
}

function configureBucket(
  bucket: TokenBucket | undefined,
  settings: BucketSettings,
): TokenBucket | undefined {
  if (settings.rate === undefined) return undefined;
  const ratePerSecond = settings.rate * settings.share;
  const fullBurst = settings.burst ?? settings.rate * DEFAULT_BURST_SECONDS;
  const burst = Math.max(1, fullBurst * settings.share);
  return bucket?.configure({ ratePerSecond, burst }) ??
    new TokenBucket({ ratePerSecond, burst });
}
