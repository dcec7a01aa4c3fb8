/** Plans the number of targets of a pool in each zone, by demand and price. */

/** State of a zone. */
export interface ZoneState {
  /** Identifier of the zone. */
  readonly id: string;
  /** Whether targets are lasting; others can be reclaimed at short notice. */
  readonly isLasting: boolean;
  /** Price of a target per hour. */
  readonly pricePerHour: number;
  /** Number of targets that run or start. */
  readonly targets: number;
  /** Number of targets that run. */
  readonly ready: number;
  /** Maximum number of targets. */
  readonly limit: number;
}

/** Demand for one pool. */
export interface PoolDemand {
  /** Requested tokens per second. */
  readonly tokensPerSecond: number;
  /** Queued tokens, without those in flight. */
  readonly queuedTokens: number;
  /** Time within which the backlog must be processed, in seconds. */
  readonly slackSeconds: number;
  /** Start-up time of a target, in seconds. */
  readonly startSeconds: number;
  /** Share of the demand that is not idempotent, from 0 to 1. */
  readonly nonRepeatableShare: number;
  /** Throughput of a target, in tokens per second. */
  readonly targetTokensPerSecond: number;
}

/** Bounds on the number of targets of a pool. */
export interface PoolLimits {
  /** Minimum number of targets. */
  readonly minTargets: number;
  /** Maximum number of targets, over all zones. */
  readonly maxTargets: number;
}

/** Input of {@link CapacityPlanner.plan}. */
export interface CapacityInput {
  /** Demand for the pool. */
  readonly demand: PoolDemand;
  /** Bounds of the pool. */
  readonly limits: PoolLimits;
  /** Zones that can run targets of the pool. */
  readonly zones: readonly ZoneState[];
  /** Current time, in milliseconds. */
  readonly now: number;
}

/** Planned number of targets of a zone. */
export interface ZonePlan {
  /** Identifier of the zone. */
  readonly zone: string;
  /** Number of targets. */
  readonly targets: number;
}

/** Share of the slack after a start that is used to process the backlog. */
const SLACK_SHARE = 0.9;
/** Minimum time planned for processing the backlog, in seconds. */
const MIN_BACKLOG_SECONDS = 10;
/** Time for which the need must be lower before targets are stopped. */
const SCALE_DOWN_DELAY_MS = 45_000;
/** Time during which a reclaim reduces the share of spot targets. */
const RECLAIM_WINDOW_MS = 3_600_000;
/** Reduction of the share of spot targets for each recent reclaim. */
const SPOT_SHARE_LOSS_PER_RECLAIM = 0.03;
const MAX_SPOT_SHARE = 0.95;
const MIN_SPOT_SHARE = 0.1;
const FIRST_BACKOFF_MS = 30_000;
const MAX_BACKOFF_MS = 60_000;

interface ZoneHistory {
  reclaims: number[];
  backoffMs: number;
  notBefore: number;
}

/**
 * Plans targets by zone: spot targets first, in a share that falls with each
 * recent reclaim, and targets in lasting zones for the remainder.
 *
 * Scale-up is immediate; scale-down is delayed until the need has been lower
 * for a while. A zone without available targets is skipped with exponential
 * backoff, and a lasting target is replaced only by a running spot target.
 *
 * @example
 * ```ts
 * for (const { zone, targets } of planner.plan(input)) order(zone, targets);
 * ```
 */
export class CapacityPlanner {
  readonly #zones = new Map<string, ZoneHistory>();
  #recentNeeds: { needed: number; since: number }[] = [];

  /** Plans the number of targets of each zone. */
  plan(input: CapacityInput): ZonePlan[] {
    const { zones, now } = input;
    const needed = this.#delayScaleDown(neededTargets(input), now);
    const lasting = zones.filter((zone) => zone.isLasting);
    const spot = zones.filter((zone) => !zone.isLasting);
    const spotLimit = Math.floor(needed * this.#maxSpotShare(spot, input));
    const allocated = new Map<string, number>();
    this.#allocate(spot, { count: spotLimit, allocated, now });
    const readySpot = spot.reduce(
      (sum, zone) => sum + Math.min(zone.ready, allocated.get(zone.id) ?? 0),
      0,
    );
    this.#allocate(lasting, { count: needed - readySpot, allocated, now });
    return zones.map((zone) => ({
      zone: zone.id,
      targets: allocated.get(zone.id) ?? 0,
    }));
  }

  /** Records that a zone reclaimed a target. */
  onReclaimed(zone: string, now: number): this {
    this.#historyOf(zone).reclaims.push(now);
    return this;
  }

  /** Records that a zone had no target available, and backs off from it. */
  onUnavailable(zone: string, now: number): this {
    const history = this.#historyOf(zone);
    history.notBefore = now + history.backoffMs;
    history.backoffMs = Math.min(MAX_BACKOFF_MS, history.backoffMs * 2);
    return this;
  }

  /** Records that a zone has started a target, which resets the backoff. */
  onStarted(zone: string): this {
    this.#historyOf(zone).backoffMs = FIRST_BACKOFF_MS;
    return this;
  }

  #historyOf(zone: string): ZoneHistory {
    let history = this.#zones.get(zone);
    if (history !== undefined) return history;
    history = { reclaims: [], backoffMs: FIRST_BACKOFF_MS, notBefore: 0 };
    this.#zones.set(zone, history);
    return history;
  }

  /** Gets the peak need within {@link SCALE_DOWN_DELAY_MS}. */
  #delayScaleDown(needed: number, now: number): number {
    this.#recentNeeds = this.#recentNeeds
      .filter((need) =>
        now - need.since < SCALE_DOWN_DELAY_MS && need.needed > needed
      );
    this.#recentNeeds.push({ needed, since: now });
    return this.#recentNeeds[0].needed;
  }

  #maxSpotShare(
    spot: readonly ZoneState[],
    input: CapacityInput,
  ): number {
    const { now, demand } = input;
    let reclaims = 0;
    for (const zone of spot) {
      const history = this.#historyOf(zone.id);
      history.reclaims = history.reclaims
        .filter((at) => now - at < RECLAIM_WINDOW_MS);
      reclaims += history.reclaims.length;
    }
    const share = MAX_SPOT_SHARE - reclaims * SPOT_SHARE_LOSS_PER_RECLAIM;
    const repeatableShare = 1 - demand.nonRepeatableShare;
    return Math.min(repeatableShare, Math.max(MIN_SPOT_SHARE, share));
  }

  #allocate(
    zones: readonly ZoneState[],
    options: { count: number; allocated: Map<string, number>; now: number },
  ): void {
    let remaining = Math.max(0, options.count);
    const byPrice = [...zones].sort((a, b) => a.pricePerHour - b.pricePerHour);
    for (const zone of byPrice) {
      const isBackedOff = options.now < this.#historyOf(zone.id).notBefore;
      const limit = isBackedOff ? zone.targets : zone.limit;
      const count = Math.min(remaining, limit);
      options.allocated.set(zone.id, count);
      remaining -= count;
    }
  }
}

function neededTargets(input: CapacityInput): number {
  const { demand, limits } = input;
  const { tokensPerSecond, queuedTokens, targetTokensPerSecond } = demand;
  const slack = (demand.slackSeconds - demand.startSeconds) * SLACK_SHARE;
  const backlogSeconds = Math.max(MIN_BACKLOG_SECONDS, slack);
  const rate = tokensPerSecond + queuedTokens / backlogSeconds;
  const needed = Math.ceil(rate / Math.max(1, targetTokensPerSecond));
  return Math.min(limits.maxTargets, Math.max(limits.minTargets, needed));
}
