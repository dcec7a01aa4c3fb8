/** Scenarios of callers: load, fairness, delayed load reports, prefixes. */
import { CallerModel } from "../caller_model.ts";
import { type Figures, mean, percentile } from "../figures.ts";
import type { Policy } from "../policies.ts";
import { logNormal, type Scenario, type ScenarioRun } from "../scenario.ts";
import { ENGINE_DEFAULTS, Simulation } from "../simulation.ts";

const ENGINES = 8;
const DURATION_MS = 120_000;
const WARM_UP_MS = 20_000;
const DEADLINE_MS = 10_000;
const MEDIAN_TOKENS = 128;

interface Workspace {
  readonly id: string;
  /** Requested load, as a fraction of the total capacity. */
  readonly load: number;
}

function totalCapacity(simulation: Simulation): number {
  let sum = 0;
  for (const engine of simulation.engines.values()) sum += engine.capacity;
  return sum;
}

function runCallers(
  simulation: Simulation,
  workspaces: readonly Workspace[],
): { figures: Figures; callers: Map<string, CallerModel> } {
  const capacity = totalCapacity(simulation);
  const drawTokenCount = logNormal(simulation.scheduler, MEDIAN_TOKENS, 0.6);
  const meanTokens = MEDIAN_TOKENS * Math.exp(0.6 ** 2 / 2);
  const callers = new Map(workspaces.map(({ id, load }) => [
    id,
    new CallerModel({
      simulation,
      workspace: id,
      rate: () => load * capacity / meanTokens,
      drawTokens: drawTokenCount,
      deadlineMs: DEADLINE_MS,
      countFromMs: WARM_UP_MS,
    }),
  ]));
  simulation.scheduler.runUntil(DURATION_MS);
  const seconds = (DURATION_MS - WARM_UP_MS) / 1_000;
  const callerFigures = [...callers.values()].map((caller) => caller.figures);
  const usefulTokens = callerFigures.reduce(
    (sum, f) => sum + f.usefulTokens,
    0,
  );
  const latenciesMs = callerFigures.flatMap((f) => f.latenciesMs);
  const refusalLatenciesMs = callerFigures.flatMap((f) => f.refusalLatenciesMs);
  return {
    callers,
    figures: {
      badReports: 0,
      worstServed: minFairShare(callers, capacity * seconds),
      goodput: usefulTokens / (capacity * seconds),
      medianMs: percentile(latenciesMs, 50),
      p99Ms: percentile(latenciesMs, 99),
      refused: refusalLatenciesMs.length,
      slowestRefusalMs: Math.max(0, ...refusalLatenciesMs),
    },
  };
}

/**
 * Gets the lowest ratio of useful tokens to fair share. Fair shares are
 * max-min fair: no workspace gets more than it requests.
 */
function minFairShare(
  callers: ReadonlyMap<string, CallerModel>,
  capacityTokens: number,
): number {
  const byDemand = [...callers.values()]
    .map((caller) => caller.figures)
    .sort((a, b) => a.requestedTokens - b.requestedTokens);
  let remainingTokens = capacityTokens;
  let minShare = Infinity;
  byDemand.forEach((figures, i) => {
    const fairTokens = Math.min(
      figures.requestedTokens,
      remainingTokens / (byDemand.length - i),
    );
    remainingTokens -= fairTokens;
    minShare = Math.min(minShare, figures.usefulTokens / fairTokens);
  });
  return minShare;
}

function createSimulation(
  seed: number,
  policy: Policy,
  options: { loadLagMs?: number } = {},
): Simulation {
  const simulation = new Simulation({ seed, policy, ...options });
  for (let i = 0; i < ENGINES; i += 1) simulation.addEngine(`e${i}`);
  return simulation;
}

function runWorkspaces(
  simulation: Simulation,
  workspaces: readonly Workspace[],
): ScenarioRun {
  const { figures } = runCallers(simulation, workspaces);
  return { figures, violations: simulation.violations };
}

const WORKSPACE_IDS = Array.from({ length: 8 }, (_, i) => `w${i}`);

/** Load below the capacity. */
export const steady: Scenario = {
  text: "Eight workspaces ask for 70% of the capacity",
  baselines: ["roundRobin", "leastConnections"],
  goals: [],
  run: (seed, policy) =>
    runWorkspaces(
      createSimulation(seed, policy),
      WORKSPACE_IDS.map((id) => ({ id, load: 0.7 / WORKSPACE_IDS.length })),
    ),
};

/** Twice the load that the engines can serve. */
export const overload: Scenario = {
  text: "Eight workspaces ask for twice the capacity",
  baselines: ["roundRobin", "leastConnections"],
  goals: [
    {
      text: "goodput at least 0.95 of the capacity",
      isMet: ({ goodput = 0 }) => goodput >= 0.95,
    },
    {
      text: "every refusal within 100 ms",
      isMet: ({ slowestRefusalMs = Infinity }) => slowestRefusalMs <= 100,
    },
  ],
  run: (seed, policy) =>
    runWorkspaces(
      createSimulation(seed, policy),
      WORKSPACE_IDS.map((id) => ({ id, load: 2 / WORKSPACE_IDS.length })),
    ),
};

/** One workspace requests ten times as much as each of the others. */
export const noisyNeighbour: Scenario = {
  text: "One workspace asks for ten times what seven others do",
  baselines: ["roundRobin", "leastConnections"],
  goals: [{
    text: "worst-served workspace at least 0.9 of its fair share",
    isMet: ({ worstServed = 0 }) => worstServed >= 0.9,
  }],
  run: (seed, policy) => {
    const simulation = createSimulation(seed, policy);
    const workspaces = WORKSPACE_IDS.map((id, i) => ({
      id,
      load: i === 0 ? 1 : 0.1,
    }));
    const { figures, callers } = runCallers(simulation, workspaces);
    const quietLatenciesMs = [...callers].filter(([id]) => id !== "w0")
      .flatMap(([, caller]) => caller.figures.latenciesMs);
    return {
      figures: { ...figures, quietMedianMs: percentile(quietLatenciesMs, 50) },
      violations: simulation.violations,
    };
  },
};

/** Load reports that arrive seconds late. */
export const laggingLoad: Scenario = {
  text: "85% of the capacity, engines of three speeds, reports 3 s late",
  baselines: ["roundRobin", "leastConnections"],
  goals: [],
  run: (seed, policy) => {
    const simulation = new Simulation({ seed, policy, loadLagMs: 3_000 });
    for (let i = 0; i < ENGINES; i += 1) {
      const msPerToken = ENGINE_DEFAULTS.msPerToken * [1, 1.5, 2.5][i % 3];
      simulation.addEngine(`e${i}`, { msPerToken });
    }
    return runWorkspaces(
      simulation,
      WORKSPACE_IDS.map((id) => ({ id, load: 0.85 / WORKSPACE_IDS.length })),
    );
  },
};

const PREFIX_COUNT = 60;
const PROMPT_TOKENS = 2_000;

/** Recurring long prompts, which the caches of the engines can hold in part. */
export const prefixGroups: Scenario = {
  text: "60 long prompts that return, caches for 10 on each of 8 engines",
  baselines: ["roundRobin", "leastConnections"],
  goals: [{
    text: "at least 0.9 of the cache hits of a perfect placement",
    isMet: ({ hitsOfPerfect = 0 }) => hitsOfPerfect >= 0.9,
  }],
  run: (seed, policy) => {
    const simulation = createSimulation(seed, policy);
    const drawTokenCount = logNormal(simulation.scheduler, MEDIAN_TOKENS, 0.4);
    const caller = new CallerModel({
      simulation,
      workspace: "w",
      rate: () => 0.55 * totalCapacity(simulation) / (MEDIAN_TOKENS * 1.5),
      drawTokens: drawTokenCount,
      deadlineMs: DEADLINE_MS * 6,
      promptTokens: PROMPT_TOKENS,
      drawPrefix: () =>
        `p${Math.floor(simulation.scheduler.random() * PREFIX_COUNT)}`,
    });
    simulation.scheduler.runUntil(DURATION_MS);
    let cachedTokens = 0;
    let promptTokens = 0;
    for (const engine of simulation.engines.values()) {
      cachedTokens += engine.cachedTokens;
      promptTokens += engine.promptTokens;
    }
    const maxCachedTokens = promptTokens - PREFIX_COUNT * PROMPT_TOKENS;
    return {
      figures: {
        badReports: 0,
        hitsOfPerfect: cachedTokens / maxCachedTokens,
        medianMs: percentile(caller.figures.latenciesMs, 50),
        p99Ms: percentile(caller.figures.latenciesMs, 99),
        meanMs: mean(caller.figures.latenciesMs),
      },
      violations: simulation.violations,
    };
  },
};
