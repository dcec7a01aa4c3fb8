/** Decides how many targets each zone is to run. */

/** A zone, as the decision sees it. */
export interface ZoneState {
  /** Zone. */
  readonly id: string;
  /** Whether it lasts; others may vanish at short notice. */
  readonly isLasting: boolean;
  /** Price of a target, an hour. */
  readonly pricePerHour: number;
  /** Targets that run or start. */
  readonly targets: number;
  /** Targets that run. */
  readonly ready: number;
  /** Targets that it can run at most. */
  readonly limit: number;
}

/** Demand on one pool. */
export interface PoolDemand {
  /** Tokens asked for, a second. */
  readonly tokensPerSecond: number;
  /** Tokens that wait beyond what the targets are working on. */
  readonly queuedTokens: number;
  /** Time in which what waits must be done, in seconds. */
  readonly slackSeconds: number;
  /** Time that a target needs to start, in seconds. */
  readonly startSeconds: number;
  /** Part of the demand that may not be repeated, from 0 to 1. */
  readonly nonRepeatableShare: number;
  /** Tokens that a target generates, a second. */
  readonly targetTokensPerSecond: number;
}

/** Limits of a pool. */
export interface PoolLimits {
  /** Fewest targets. */
  readonly minTargets: number;
  /** Most targets. */
  readonly maxTargets: number;
}

/** What the decision looks at. */
export interface CapacityInput {
  /** Demand. */
  readonly demand: PoolDemand;
  /** Limits. */
  readonly limits: PoolLimits;
  /** Zones that can run targets of the pool. */
  readonly zones: readonly ZoneState[];
  /** Current time, in milliseconds. */
  readonly now: number;
}

/** Targets that a zone is to run. */
export interface ZonePlan {
  /** Zone. */
  readonly zone: string;
  /** Targets. */
  readonly targets: number;
}

/** Part of the slack after a start that is used to work off what waits. */
const SLACK_SHARE = 0.9;
/** Shortest time in which what waits is worked off, in seconds. */
const MIN_BACKLOG_SECONDS = 10;
/** Time for which less must be needed before targets are stopped. */
const SCALE_DOWN_DELAY_MS = 45_000;
/** Time over which reclaims are remembered. */
const RECLAIM_WINDOW_MS = 3_600_000;
/** Loss of the share of cheap targets with each remembered reclaim. */
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
 * Plans targets by zone, cheap ones as far as they have lasted.
 *
 * More targets are planned at once; fewer only after the need has been lower
 * for a while. A zone that had none available is left out for a time, and
 * lasting targets are given up only for cheap ones that run.
 *
 * @example
 * ```ts
 * for (const { zone, targets } of planner.plan(question)) order(zone, targets);
 * ```
 */
export class CapacityPlanner {
  readonly #zones = new Map<string, ZoneHistory>();
  #recentNeeds: { needed: number; since: number }[] = [];

  /** Gets the targets that each zone is to run. */
  plan(input: CapacityInput): ZonePlan[] {
    const { zones, now } = input;
    const needed = this.#delayScaleDown(neededTargets(input), now);
    const lasting = zones.filter((zone) => zone.isLasting);
    const spot = zones.filter((zone) => !zone.isLasting);
    const spotLimit = Math.floor(needed * this.#maxSpotShare(spot, input));
    const placed = new Map<string, number>();
    this.#fill(spot, { count: spotLimit, placed, now });
    const readySpot = spot.reduce(
      (sum, zone) => sum + Math.min(zone.ready, placed.get(zone.id) ?? 0),
      0,
    );
    this.#fill(lasting, { count: needed - readySpot, placed, now });
    return zones.map((zone) => ({
      zone: zone.id,
      targets: placed.get(zone.id) ?? 0,
    }));
  }

  /** Records that a zone's targets were taken away. */
  onReclaimed(zone: string, now: number): this {
    this.#historyOf(zone).reclaims.push(now);
    return this;
  }

  /** Records that a zone had no target available. */
  onUnavailable(zone: string, now: number): this {
    const history = this.#historyOf(zone);
    history.notBefore = now + history.backoffMs;
    history.backoffMs = Math.min(MAX_BACKOFF_MS, history.backoffMs * 2);
    return this;
  }

  /** Records that a zone has started a target. */
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

  /** Keeps the greatest need of the time held. */
  #delayScaleDown(needed: number, now: number): number {
    this.#recentNeeds = this.#recentNeeds
      .filter((h) => now - h.since < SCALE_DOWN_DELAY_MS && h.needed > needed);
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

  #fill(
    zones: readonly ZoneState[],
    options: { count: number; placed: Map<string, number>; now: number },
  ): void {
    let remaining = Math.max(0, options.count);
    const byPrice = [...zones].sort((a, b) => a.pricePerHour - b.pricePerHour);
    for (const zone of byPrice) {
      const isBackedOff = options.now < this.#historyOf(zone.id).notBefore;
      const limit = isBackedOff ? zone.targets : zone.limit;
      const count = Math.min(remaining, limit);
      options.placed.set(zone.id, count);
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
