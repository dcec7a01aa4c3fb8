/** Cost of a day in which capacity follows demand, prices and reclaims. */
import {
  CapacityPlanner,
  type ZoneState,
} from "../../src/core/capacity/mod.ts";
import { Scheduler } from "../../sim/scheduler.ts";
import type { Policy } from "../policies.ts";
import type { Scenario, ScenarioRun } from "../scenario.ts";

const DAY_SECONDS = 86_400;
const STEP_SECONDS = 10;
const TARGET_TOKENS_PER_SECOND = 1_000;
const PEAK_TOKENS_PER_SECOND = 24_000;
const DEADLINE_SECONDS = 240;
const START_SECONDS = 120;
const LASTING_PRICE_PER_HOUR = 4;
const SPOT_PRICE_PER_HOUR = 1.5;
const LASTING_MAX_TARGETS = 40;
const SPOT_MAX_TARGETS = 24;
const RECLAIM_MEAN_SECONDS = 10_800;
const OUTAGE_SECONDS = 900;
const NON_REPEATABLE_SHARE = 0.1;
const SECONDS_PER_HOUR = 3_600;
const MAX_COST_FACTOR = 1.15;
const MIN_IN_TIME = 0.99;

interface Zone {
  readonly id: string;
  readonly isLasting: boolean;
  readonly pricePerHour: number;
  readonly maxTargets: number;
  running: number;
  /** Times at which starting targets become ready, in seconds. */
  readyTimes: number[];
  unavailableUntil: number;
}

interface QueuedWork {
  readonly deadline: number;
  remainingTokens: number;
}

/** Draws the demand of a day: a daily curve, noise and sudden bursts. */
function drawDemand(scheduler: Scheduler): number[] {
  const demand: number[] = [];
  let burst = 0;
  for (
    let nowSeconds = 0;
    nowSeconds < DAY_SECONDS;
    nowSeconds += STEP_SECONDS
  ) {
    const hour = nowSeconds / SECONDS_PER_HOUR;
    const day = Math.max(0, Math.sin((hour - 5) / 14 * Math.PI));
    if (scheduler.random() < STEP_SECONDS / 7_200) burst = 0.25;
    if (scheduler.random() < STEP_SECONDS / 1_200) burst = 0;
    const noise = 1 + 0.1 * (scheduler.random() - 0.5);
    demand.push(PEAK_TOKENS_PER_SECOND * (0.1 + 0.65 * day + burst) * noise);
  }
  return demand;
}

function drawReclaims(scheduler: Scheduler): number[] {
  const times: number[] = [];
  let at = 0;
  while (at < DAY_SECONDS) {
    at += -Math.log(1 - scheduler.random()) * RECLAIM_MEAN_SECONDS;
    times.push(at);
  }
  return times;
}

function isSpotUnavailable(
  reclaims: readonly number[],
  nowSeconds: number,
): boolean {
  return reclaims.some((at) =>
    nowSeconds >= at && nowSeconds < at + OUTAGE_SECONDS
  );
}

/** Gets the cost with known demand and reclaims and an instant start-up. */
function oracleCost(
  demand: readonly number[],
  reclaims: readonly number[],
): number {
  const windowSteps = DEADLINE_SECONDS / STEP_SECONDS;
  let cost = 0;
  for (let i = 0; i < demand.length; i += 1) {
    const upcoming = demand.slice(i, i + windowSteps);
    const rate = upcoming.reduce((sum, d) => sum + d, 0) / upcoming.length;
    const needed = Math.ceil(rate / TARGET_TOKENS_PER_SECOND);
    const repeatable = Math.floor(needed * (1 - NON_REPEATABLE_SHARE));
    const isUnavailable = isSpotUnavailable(reclaims, i * STEP_SECONDS);
    const spotTargets = isUnavailable
      ? 0
      : Math.min(SPOT_MAX_TARGETS, repeatable);
    cost += spotTargets * SPOT_PRICE_PER_HOUR +
      (needed - spotTargets) * LASTING_PRICE_PER_HOUR;
  }
  return cost * STEP_SECONDS / SECONDS_PER_HOUR;
}

function runDay(seed: number, policy: Policy): ScenarioRun {
  const scheduler = new Scheduler(seed);
  const demand = drawDemand(scheduler);
  const reclaims = drawReclaims(scheduler);
  const planner = new CapacityPlanner();
  const zones = createZones(policy.usesSpotZones);
  const queue: QueuedWork[] = [];
  // Baselines without fair sharing keep their initial capacity.
  const usesPlanner = policy.isFair;
  let cost = 0;
  let spotTokens = 0;
  let servedTokens = 0;
  let lateSteps = 0;
  let smoothedRate = demand[0];
  let nextReclaim = 0;
  demand.forEach((rate, i) => {
    const nowSeconds = i * STEP_SECONDS;
    while (reclaims[nextReclaim] <= nowSeconds) {
      nextReclaim += 1;
      for (const zone of zones.filter((z) => !z.isLasting)) {
        zone.running = 0;
        zone.readyTimes = [];
        zone.unavailableUntil = nowSeconds + OUTAGE_SECONDS;
        planner.onReclaimed(zone.id, nowSeconds * 1_000);
      }
    }
    for (const zone of zones) {
      const readyCount = zone.readyTimes.filter((at) =>
        at <= nowSeconds
      ).length;
      zone.running += readyCount;
      zone.readyTimes = zone.readyTimes.filter((at) => at > nowSeconds);
    }
    smoothedRate += 0.2 * (rate - smoothedRate);
    queue.push({
      deadline: nowSeconds + DEADLINE_SECONDS,
      remainingTokens: rate * STEP_SECONDS,
    });
    const arrivedTokens = rate * STEP_SECONDS;
    const backlogTokens = queue.reduce((sum, b) => sum + b.remainingTokens, 0) -
      arrivedTokens;
    if (usesPlanner) {
      applyPlan(zones, { planner, smoothedRate, backlogTokens, nowSeconds });
    }
    const running = zones.reduce((sum, z) => sum + z.running, 0);
    const spotTargets = zones.filter((z) => !z.isLasting)
      .reduce((sum, z) => sum + z.running, 0);
    const served = serveQueue(
      queue,
      running * TARGET_TOKENS_PER_SECOND * STEP_SECONDS,
    );
    servedTokens += served;
    spotTokens += running === 0 ? 0 : served * spotTargets / running;
    const lateCount = queue.filter((b) => b.deadline <= nowSeconds).length;
    lateSteps += lateCount;
    queue.splice(0, lateCount);
    for (const zone of zones) {
      const paidTargets = zone.running + zone.readyTimes.length;
      cost += paidTargets * zone.pricePerHour * STEP_SECONDS / SECONDS_PER_HOUR;
    }
  });
  const optimalCost = oracleCost(demand, reclaims);
  return {
    figures: {
      badReports: 0,
      costOfPerfect: cost / optimalCost,
      costPerMillion: cost / (servedTokens / 1e6),
      stepsInTime: 1 - lateSteps / demand.length,
      cheapShare: spotTokens / servedTokens,
    },
    violations: [],
  };
}

/** Creates the zones; the lasting one starts with capacity for the peak. */
function createZones(usesSpotZones: boolean): Zone[] {
  const peakTargets = Math.ceil(
    PEAK_TOKENS_PER_SECOND / TARGET_TOKENS_PER_SECOND,
  );
  const createZone = (id: string, isLasting: boolean): Zone => ({
    id,
    isLasting,
    pricePerHour: isLasting ? LASTING_PRICE_PER_HOUR : SPOT_PRICE_PER_HOUR,
    maxTargets: isLasting ? LASTING_MAX_TARGETS : SPOT_MAX_TARGETS,
    running: isLasting ? peakTargets : 0,
    readyTimes: [],
    unavailableUntil: 0,
  });
  const lasting = createZone("lasting", true);
  return usesSpotZones ? [lasting, createZone("spot", false)] : [lasting];
}

function applyPlan(
  zones: readonly Zone[],
  state: {
    planner: CapacityPlanner;
    smoothedRate: number;
    backlogTokens: number;
    nowSeconds: number;
  },
): void {
  const { planner, smoothedRate, backlogTokens, nowSeconds } = state;
  const states: ZoneState[] = zones.map((zone) => ({
    id: zone.id,
    isLasting: zone.isLasting,
    pricePerHour: zone.pricePerHour,
    targets: zone.running + zone.readyTimes.length,
    ready: zone.running,
    limit: zone.maxTargets,
  }));
  const plan = planner.plan({
    demand: {
      tokensPerSecond: smoothedRate,
      queuedTokens: backlogTokens,
      slackSeconds: DEADLINE_SECONDS,
      startSeconds: START_SECONDS,
      nonRepeatableShare: NON_REPEATABLE_SHARE,
      targetTokensPerSecond: TARGET_TOKENS_PER_SECOND,
    },
    limits: { minTargets: 2, maxTargets: 60 },
    zones: states,
    now: nowSeconds * 1_000,
  });
  for (const { zone: id, targets } of plan) {
    const zone = zones.find((z) => z.id === id);
    if (zone !== undefined) scaleZone(zone, { targets, planner, nowSeconds });
  }
}

/** Starts or stops targets of a zone; an unavailable zone starts none. */
function scaleZone(
  zone: Zone,
  state: { targets: number; planner: CapacityPlanner; nowSeconds: number },
): void {
  const { targets, planner, nowSeconds } = state;
  const shortfall = targets - zone.running - zone.readyTimes.length;
  if (shortfall > 0 && nowSeconds < zone.unavailableUntil) {
    planner.onUnavailable(zone.id, nowSeconds * 1_000);
    return;
  }
  for (let i = 0; i < shortfall; i += 1) {
    zone.readyTimes.push(nowSeconds + START_SECONDS);
  }
  if (shortfall > 0) planner.onStarted(zone.id);
  for (let i = 0; i < -shortfall; i += 1) {
    if (zone.readyTimes.length > 0) zone.readyTimes.pop();
    else zone.running -= 1;
  }
}

/** Serves queued work in order and returns the number of tokens served. */
function serveQueue(queue: QueuedWork[], tokens: number): number {
  let remainingTokens = tokens;
  while (queue.length > 0 && remainingTokens > 0) {
    const [first] = queue;
    const served = Math.min(remainingTokens, first.remainingTokens);
    first.remainingTokens -= served;
    remainingTokens -= served;
    if (first.remainingTokens <= 1e-6) queue.shift();
  }
  return tokens - remainingTokens;
}

/** Cost of a day with varying demand. */
export const diurnalCost: Scenario = {
  text: "A day with bursts; cheap targets reclaimed about every 3 hours",
  baselines: ["roundRobin", "lastingOnly"],
  goals: [
    {
      text: "at most 1.15 of the cost of a planner that knows the future",
      isMet: ({ costOfPerfect = Infinity }) => costOfPerfect <= MAX_COST_FACTOR,
    },
    {
      text: "99% of steps in time",
      isMet: ({ stepsInTime = 0 }) => stepsInTime >= MIN_IN_TIME,
    },
  ],
  run: runDay,
};
