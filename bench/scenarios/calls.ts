/** Scenarios of callers: load, fairness, lagging reports, prefixes. */
import { CallerModel } from "../caller_model.ts";
import { type Figures, mean, percentile } from "../figures.ts";
import type { Policy } from "../policies.ts";
import { logNormal, type Scenario, type ScenarioRun } from "../scenario.ts";
import { ENGINE, World } from "../world.ts";

const ENGINES = 8;
const LENGTH_MS = 120_000;
const WARM_UP_MS = 20_000;
const DEADLINE_MS = 10_000;
const TOKENS = 128;

interface Workspace {
  readonly id: string;
  /** Part of the whole capacity that it asks for. */
  readonly load: number;
}

function capacityOf(world: World): number {
  let sum = 0;
  for (const engine of world.engines.values()) sum += engine.capacity;
  return sum;
}

function runCallers(
  world: World,
  workspaces: readonly Workspace[],
): { figures: Figures; callers: Map<string, CallerModel> } {
  const capacity = capacityOf(world);
  const draw = logNormal(world.scheduler, TOKENS, 0.6);
  const meanTokens = TOKENS * Math.exp(0.6 ** 2 / 2);
  const callers = new Map(workspaces.map(({ id, load }) => [
    id,
    new CallerModel({
      world,
      workspace: id,
      rate: () => load * capacity / meanTokens,
      drawTokens: draw,
      deadlineMs: DEADLINE_MS,
      countFrom: WARM_UP_MS,
    }),
  ]));
  world.scheduler.runUntil(LENGTH_MS);
  const seconds = (LENGTH_MS - WARM_UP_MS) / 1_000;
  const all = [...callers.values()].map((caller) => caller.figures);
  const useful = all.reduce((sum, f) => sum + f.usefulTokens, 0);
  const latencies = all.flatMap((f) => f.latenciesMs);
  const refusals = all.flatMap((f) => f.refusalsMs);
  return {
    callers,
    figures: {
      badReports: 0,
      worstServed: worstServed(callers, capacity * seconds),
      goodput: useful / (capacity * seconds),
      medianMs: percentile(latencies, 50),
      p99Ms: percentile(latencies, 99),
      refused: refusals.length,
      slowestRefusalMs: Math.max(0, ...refusals),
    },
  };
}

/** Fair shares by water-filling: nobody gets more than it asks for. */
function worstServed(
  callers: ReadonlyMap<string, CallerModel>,
  capacityTokens: number,
): number {
  const asked = [...callers.values()]
    .map((caller) => caller.figures)
    .sort((a, b) => a.askedTokens - b.askedTokens);
  let left = capacityTokens;
  let worst = Infinity;
  asked.forEach((figures, i) => {
    const fair = Math.min(figures.askedTokens, left / (asked.length - i));
    left -= fair;
    worst = Math.min(worst, figures.usefulTokens / fair);
  });
  return worst;
}

function createWorld(
  seed: number,
  policy: Policy,
  options: { loadLagMs?: number } = {},
): World {
  const world = new World({ seed, policy, ...options });
  for (let i = 0; i < ENGINES; i += 1) world.addEngine(`e${i}`);
  return world;
}

function run(
  world: World,
  workspaces: readonly Workspace[],
): ScenarioRun {
  const { figures } = runCallers(world, workspaces);
  return { figures, violations: world.violations };
}

const EIGHT = Array.from({ length: 8 }, (_, i) => `w${i}`);

/** Load under the capacity. */
export const steady: Scenario = {
  text: "Eight workspaces ask for 70% of the capacity",
  baselines: ["roundRobin", "leastConnections"],
  goals: [],
  run: (seed, policy) =>
    run(
      createWorld(seed, policy),
      EIGHT.map((id) => ({ id, load: 0.7 / EIGHT.length })),
    ),
};

/** Twice the load that can be served. */
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
    run(
      createWorld(seed, policy),
      EIGHT.map((id) => ({ id, load: 2 / EIGHT.length })),
    ),
};

/** One workspace asks for ten times what the others do. */
export const noisyNeighbour: Scenario = {
  text: "One workspace asks for ten times what seven others do",
  baselines: ["roundRobin", "leastConnections"],
  goals: [{
    text: "worst-served workspace at least 0.9 of its fair share",
    isMet: ({ worstServed: worst = 0 }) => worst >= 0.9,
  }],
  run: (seed, policy) => {
    const world = createWorld(seed, policy);
    const workspaces = EIGHT.map((id, i) => ({
      id,
      load: i === 0 ? 1 : 0.1,
    }));
    const { figures, callers } = runCallers(world, workspaces);
    const quiet = [...callers].filter(([id]) => id !== "w0")
      .flatMap(([, caller]) => caller.figures.latenciesMs);
    return {
      figures: { ...figures, quietMedianMs: percentile(quiet, 50) },
      violations: world.violations,
    };
  },
};

/** Load reports that lie seconds behind. */
export const laggingLoad: Scenario = {
  text: "85% of the capacity, engines of three speeds, reports 3 s late",
  baselines: ["roundRobin", "leastConnections"],
  goals: [],
  run: (seed, policy) => {
    const world = new World({ seed, policy, loadLagMs: 3_000 });
    for (let i = 0; i < ENGINES; i += 1) {
      const msPerToken = ENGINE.msPerToken * [1, 1.5, 2.5][i % 3];
      world.addEngine(`e${i}`, { msPerToken });
    }
    return run(world, EIGHT.map((id) => ({ id, load: 0.85 / EIGHT.length })));
  },
};

const PREFIXES = 60;
const PROMPT_TOKENS = 2_000;

/** Conversations whose long prompts are worth keeping in a cache. */
export const prefixGroups: Scenario = {
  text: "60 long prompts that return, caches for 10 on each of 8 engines",
  baselines: ["roundRobin", "leastConnections"],
  goals: [{
    text: "at least 0.9 of the cache hits of a perfect placement",
    isMet: ({ hitsOfPerfect = 0 }) => hitsOfPerfect >= 0.9,
  }],
  run: (seed, policy) => {
    const world = createWorld(seed, policy);
    const draw = logNormal(world.scheduler, TOKENS, 0.4);
    const caller = new CallerModel({
      world,
      workspace: "w",
      rate: () => 0.55 * capacityOf(world) / (TOKENS * 1.5),
      drawTokens: draw,
      deadlineMs: DEADLINE_MS * 6,
      promptTokens: PROMPT_TOKENS,
      drawPrefix: () => `p${Math.floor(world.scheduler.random() * PREFIXES)}`,
    });
    world.scheduler.runUntil(LENGTH_MS);
    let cached = 0;
    let prompt = 0;
    for (const engine of world.engines.values()) {
      cached += engine.cachedTokens;
      prompt += engine.promptTokens;
    }
    const perfect = prompt - PREFIXES * PROMPT_TOKENS;
    return {
      figures: {
        badReports: 0,
        hitsOfPerfect: cached / perfect,
        medianMs: percentile(caller.figures.latenciesMs, 50),
        p99Ms: percentile(caller.figures.latenciesMs, 99),
        meanMs: mean(caller.figures.latenciesMs),
      },
      violations: world.violations,
    };
  },
};
