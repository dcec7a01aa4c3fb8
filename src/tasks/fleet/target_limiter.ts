/** Permits of an instance for targets that limit the rate of all instances. */
import { LRUCache } from "lru-cache";
import { FleetRole } from "../../core/fleet/mod.ts";
import {
  COLD_BURST,
  type LimitedTarget,
  PERMIT_MAX_AGE_MS,
  PermitIssuer,
  type PermitReply,
  type PermitRequest,
  PermitStore,
  rateWithoutLeader,
} from "../../core/limits/mod.ts";
import type { TargetRegistry, TargetReport } from "../../core/registry/mod.ts";
import type { HeldPermit, PermitAnswer, RateGuard } from "../calls/mod.ts";
import { ColdTargets, type ColdTargetsOptions } from "./cold_targets.ts";
import { FleetMethod } from "./fleet_method.ts";
import type { FleetNode } from "./fleet_node.ts";

/** What a limiter needs of its instance's links. */
type LimiterNode = Pick<
  FleetNode,
  "requestLeader" | "logger" | "metrics" | "senders"
>;

/** Options of {@link TargetLimiter}. */
export interface TargetLimiterOptions {
  readonly node: LimiterNode;
  /** Identifier of this instance. */
  readonly instance: string;
  readonly registry: TargetRegistry;
  readonly cold: ColdTargets;
  /** Number of targets whose permits are counted at the same time. */
  readonly maxTargets?: number;
  /** Gets the local monotonic time, in milliseconds. */
  readonly now: () => number;
}

/** Permits to ask for, and what becomes of them without a leader. */
interface Asking {
  readonly targets: readonly TargetReport[];
  readonly count: number;
  readonly maxWaitMs: number;
  /** Gets whether others than cold targets can run the requests. */
  readonly hasOther: (target: TargetReport) => boolean;
}

/** Share of a cold target's rate, and what it was computed from. */
interface KnownShare {
  readonly senders: readonly string[];
  readonly requestsPerS: number;
  readonly perSecond: number;
}

const DEFAULT_MAX_TARGETS = 10_000;
const REQUEST_TIMEOUT_MS = 150;
/** Time after a request without reply in which the leader is not asked. */
const RETRY_DELAY_MS = 300;
/** Time for which permits that were fetched ahead are valid. */
const STORED_VALIDITY_MS = 500;
/** Requests that may be sent at once to a cold target without a leader. */
const BURST_WITHOUT_LEADER = 1;
/** Share of a rate that a target names that an instance uses while it reaches no leader. */
const SHARE_WITHOUT_LEADER = 0.125;

/**
 * Asks the control leader for permits. Calls ask when they are about to be sent;
 * a batch runner, which places many items at once, fetches permits ahead.
 */
export class TargetLimiter implements RateGuard {
  readonly #options: TargetLimiterOptions;
  /** Grants this instance's share while no leader is reached. */
  readonly #ownIssuer: PermitIssuer;
  readonly #stored = new PermitStore();
  readonly #shares: LRUCache<string, KnownShare>;
  #isFetching = false;
  #askAgainAt = -Infinity;

  constructor(options: TargetLimiterOptions) {
    this.#options = options;
    const { maxTargets = DEFAULT_MAX_TARGETS } = options;
    this.#ownIssuer = new PermitIssuer({ maxTargets });
    this.#shares = new LRUCache({ max: maxTargets });
  }

  /** Gets whether a target limits the requests of all instances. */
  isLimited(target: TargetReport): boolean {
    return this.#rateOf(target) !== undefined;
  }

  /** Gets whether a target is cold: it takes few requests after its start. */
  isCold(target: TargetReport): boolean {
    return this.#options.cold.rateOf(target) !== undefined;
  }

  /** Takes a target for cold until its next heartbeats would have come. */
  onLost(target: TargetReport): void {
    this.#options.cold.onLost(target);
  }

  /** Takes a permit for one request to the first of some limited targets. */
  async acquire(
    targets: readonly TargetReport[],
    maxWaitMs: number,
    hasOther = false,
  ): Promise<PermitAnswer> {
    const { now, node } = this.#options;
    const askedAt = now();
    const { permits, retryAfterMs } = await this.#ask({
      targets,
      count: 1,
      maxWaitMs,
      hasOther: () => hasOther,
    });
    const [granted] = permits;
    const target = targets.find((k) => keyOf(k) === granted?.target);
    const isDelayed = target === undefined || granted.afterMs > 0;
    if (isDelayed && targets.some((k) => this.isCold(k))) {
      node.metrics.count("requests.delayedCold");
    }
    if (target === undefined) return { permit: undefined, retryAfterMs };
    const { afterMs } = granted;
    const expiresAt = this.isCold(target)
      ? askedAt + afterMs + PERMIT_MAX_AGE_MS
      : Infinity;
    const isValid = () => now() < expiresAt;
    return { permit: { target, afterMs, isValid }, retryAfterMs };
  }

  /** Gets the number of permits that were fetched ahead for a target. */
  storedPermits(target: TargetReport): number {
    return this.#stored.countOf(keyOf(target), this.#options.now());
  }

  /** Uses a permit that was fetched ahead. */
  useStored(target: TargetReport): HeldPermit {
    const { now } = this.#options;
    const key = keyOf(target);
    const usedAt = now();
    const expiresAt = this.isCold(target)
      ? this.#stored.nextExpiry(key, usedAt) ?? usedAt
      : Infinity;
    this.#stored.use(key, usedAt);
    return { target, afterMs: 0, isValid: () => now() < expiresAt };
  }

  /**
   * Fetches permits ahead, one request at a time.
   * @returns Whether any have come.
   */
  async fetch(
    targets: readonly TargetReport[],
    count: number,
  ): Promise<boolean> {
    if (this.#isFetching || targets.length === 0 || count <= 0) return false;
    this.#isFetching = true;
    const { cold, now } = this.#options;
    const askedAt = now();
    try {
      const { permits } = await this.#ask({
        targets,
        count,
        maxWaitMs: 0,
        hasOther: ({ service }) => cold.hasWarm(service),
      });
      for (const { target } of permits) {
        const report = targets.find((k) => keyOf(k) === target);
        const isCold = report !== undefined && this.isCold(report);
        const expiresAt = isCold
          ? askedAt + PERMIT_MAX_AGE_MS
          : now() + STORED_VALIDITY_MS;
        const permit = { expiresAt, extendsOthers: !isCold };
        this.#stored.add(target, permit, now());
      }
      return permits.length > 0;
    } finally {
      this.#isFetching = false;
    }
  }

  async #ask(asking: Asking): Promise<PermitReply> {
    const { node, now } = this.#options;
    const { count, maxWaitMs } = asking;
    const targets = asking.targets.flatMap((k) => this.#toLimited(k));
    const request: PermitRequest = { targets, count, maxWaitMs };
    if (now() >= this.#askAgainAt) {
      try {
        return await node.requestLeader(
          FleetRole.Control,
          FleetMethod.Permits,
          { params: request, timeoutMs: REQUEST_TIMEOUT_MS },
        ) as PermitReply;
      } catch (err) {
        this.#askAgainAt = now() + RETRY_DELAY_MS;
        const { message } = err as Error;
        node.logger.event("permitsUnanswered", { reason: message });
      }
    }
    const shares = asking.targets
      .flatMap((k) => this.#shareOf(k, asking.hasOther(k)));
    return this.#ownIssuer.grant({ ...request, targets: shares }, now());
  }

  #toLimited(target: TargetReport): LimitedTarget[] {
    const perSecond = this.#rateOf(target);
    if (perSecond === undefined) return [];
    const limited = { target: keyOf(target), perSecond };
    return [this.isCold(target) ? { ...limited, burst: COLD_BURST } : limited];
  }

  /** Gets what this instance may send to a target without a leader's permits. */
  #shareOf(target: TargetReport, hasOther: boolean): LimitedTarget[] {
    const requestsPerS = this.#rateOf(target);
    if (requestsPerS === undefined) return [];
    const key = keyOf(target);
    if (!this.isCold(target)) {
      const perSecond = requestsPerS * SHARE_WITHOUT_LEADER;
      return [{ target: key, perSecond }];
    }
    if (hasOther) return [];
    const perSecond = this.#rateWithoutLeader(key, requestsPerS);
    if (perSecond <= 0) return [];
    return [{ target: key, perSecond, burst: BURST_WITHOUT_LEADER }];
  }

  #rateWithoutLeader(target: string, requestsPerS: number): number {
    const { instance, node: { senders } } = this.#options;
    if (senders.length === 0) return 0;
    const known = this.#shares.get(target);
    const isCurrent = known?.senders === senders &&
      known.requestsPerS === requestsPerS;
    if (isCurrent) return known.perSecond;
    const input = { target, requestsPerS, instance, senders };
    const perSecond = rateWithoutLeader(input);
    this.#shares.set(target, { senders, requestsPerS, perSecond });
    return perSecond;
  }

  /** Gets the lower one of the rates that a target names and takes while cold. */
  #rateOf(target: TargetReport): number | undefined {
    const { registry, cold } = this.#options;
    const known = registry.get(target.id);
    const named = known?.report.incarnation === target.incarnation
      ? known.maxPerSecond
      : undefined;
    const coldRate = cold.rateOf(target);
    if (coldRate === undefined) return named;
    return Math.min(coldRate, named ?? Infinity);
  }
}

/** What an instance's limiter is created from. */
export type CreateLimiterOptions =
  & Pick<TargetLimiterOptions, "registry" | "now">
  & Pick<ColdTargetsOptions, "getService">
  & { readonly node: LimiterNode & Pick<FleetNode, "settings" | "outdatedMs"> };

/** Creates the limiter of an instance that sends requests to targets. */
export function createLimiter(options: CreateLimiterOptions): TargetLimiter {
  const { node, registry, now } = options;
  const cold = new ColdTargets({
    ...options,
    outdatedMs: () => node.outdatedMs,
    logger: node.logger,
    metrics: node.metrics,
  });
  return new TargetLimiter({
    node,
    instance: node.settings.id,
    registry,
    cold,
    now,
  });
}

function keyOf({ id, incarnation }: TargetReport): string {
  return `${id}/${incarnation}`;
}
