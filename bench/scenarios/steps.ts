/** Scenarios of trainers: stragglers, crashes, weight swaps, reclaims. */
import { planSwaps } from "../../src/core/weights/mod.ts";
import { TargetPhase } from "../../src/core/routing/mod.ts";
import { WorkKind } from "../../src/core/dispatch/mod.ts";
import type { EngineModel } from "../engine_model.ts";
import { type Figures, mean, percentile } from "../figures.ts";
import type { Policy } from "../policies.ts";
import { logNormal, type Scenario } from "../scenario.ts";
import { TrainerModel } from "../trainer_model.ts";
import { ENGINE_DEFAULTS, POOL, Simulation } from "../simulation.ts";

const ENGINES = 8;
const STEPS = 5;
const GROUPS = 32;
const SAMPLES_PER_GROUP = 16;
const PROMPT_TOKENS = 400;
const TRAIN_MS = 5_000;
const MEDIAN_TOKENS = 200;
const MAX_DURATION_MS = 900_000;

function createTrainer(
  simulation: Simulation,
  overrides: Partial<ConstructorParameters<typeof TrainerModel>[0]> = {},
): TrainerModel {
  return new TrainerModel({
    simulation,
    workspace: "trainer",
    groups: GROUPS,
    samplesPerGroup: SAMPLES_PER_GROUP,
    drawTokens: logNormal(simulation.scheduler, MEDIAN_TOKENS, 0.5),
    promptTokens: PROMPT_TOKENS,
    trainMs: TRAIN_MS,
    steps: STEPS,
    onAnnounced: (version) => loadWeightsEverywhere(simulation, version),
    ...overrides,
  });
}

/** Loads weights instantly, for scenarios that do not study loading. */
function loadWeightsEverywhere(simulation: Simulation, version: number): void {
  for (const engine of simulation.engines.values()) {
    if (!engine.isUp) continue;
    engine.resume(version);
    simulation.announce(engine);
  }
}

/** Runs until the trainer has completed its steps or a maximum duration. */
function runToEnd(simulation: Simulation, trainer: TrainerModel): Figures {
  while (!trainer.isDone && simulation.now < MAX_DURATION_MS) {
    simulation.scheduler.runUntil(simulation.now + 1_000);
  }
  const { idleMs, versionsBehind, delivered, wastedTokens } = trainer.figures;
  if (!trainer.isDone) simulation.violations.push("The steps did not end");
  let generatedTokens = 0;
  for (const engine of simulation.engines.values()) {
    generatedTokens += engine.generatedTokens;
  }
  return {
    badReports: 0,
    idleSeconds: mean(idleMs) / 1_000,
    longestIdleSeconds: Math.max(...idleMs) / 1_000,
    versionsBehind: mean(versionsBehind),
    delivered,
    wastedShare: wastedTokens / Math.max(1, generatedTokens),
  };
}

function addEngines(simulation: Simulation, count = ENGINES): EngineModel[] {
  return Array.from({ length: count }, (_, i) => simulation.addEngine(`e${i}`));
}

/** Some engines are permanently slower than the others. */
export const stragglers: Scenario = {
  text: "Steps of 512 samples, two of eight engines five times slower",
  baselines: ["roundRobin", "leastConnections", "noHedging"],
  goals: [{
    text: "trainer idle time at most half of round robin's",
    isMet: ({ idleSeconds = Infinity }, { roundRobin }) =>
      idleSeconds <= (roundRobin.idleSeconds ?? 0) / 2,
  }],
  run: (seed, policy) => {
    const simulation = new Simulation({ seed, policy });
    for (let i = 0; i < ENGINES; i += 1) {
      const isSlow = i < 2;
      simulation.addEngine(`e${i}`, {
        msPerToken: ENGINE_DEFAULTS.msPerToken * (isSlow ? 5 : 1),
      });
    }
    const trainer = createTrainer(simulation);
    const figures = runToEnd(simulation, trainer);
    return { figures, violations: simulation.violations };
  },
};

/** Engines that crash in the middle of a step. */
export const engineCrash: Scenario = {
  text: "Steps of 512 samples; an engine dies every 20 s, back after 15 s",
  baselines: ["roundRobin", "leastConnections"],
  goals: [],
  run: (seed, policy) => {
    const simulation = new Simulation({ seed, policy });
    const engines = addEngines(simulation);
    const trainer = createTrainer(simulation);
    simulation.every(20_000, () => {
      if (trainer.isDone) return;
      simulation.crash(simulation.scheduler.pick(engines), { restarts: true });
    });
    const figures = runToEnd(simulation, trainer);
    return { figures, violations: simulation.violations };
  },
};

const POISON_PERIOD_MS = 2_000;

/** A request that crashes every target it runs on, sent repeatedly. */
export const poison: Scenario = {
  text: "A request crashes each target that runs it and is sent every 2 s",
  baselines: ["roundRobin"],
  goals: [{
    text: "at most 3 targets lost",
    isMet: ({ targetsLost = Infinity }) => targetsLost <= 3,
  }],
  run: (seed, policy) => {
    const simulation = new Simulation({ seed, policy });
    addEngines(simulation);
    const trainer = createTrainer(simulation);
    let sentCount = 0;
    simulation.every(POISON_PERIOD_MS, () => {
      sentCount += 1;
      simulation.submit({
        item: {
          id: `poison-${sentCount}`,
          kind: WorkKind.Call,
          workspace: "w",
          route: POOL,
          pool: POOL,
          cost: 100,
          tokens: 100,
          prefixTokens: 0,
          fingerprint: "poison",
          idempotent: true,
          maxAttempts: 3,
          deadline: simulation.now + 60_000,
        },
        tokens: 100,
        isPoison: true,
        onEnd: () => {},
      });
    });
    const figures = runToEnd(simulation, trainer);
    return {
      figures: { ...figures, targetsLost: simulation.poisonCrashes },
      violations: simulation.violations,
    };
  },
};

const SWAP_LOAD_MS = 3_000;
const SWAP_ENGINES = 20;
const MAX_FETCHES = 8;
const MAX_SWAP_SHARE = 0.3;
const SWAP_TRAIN_MS = 20_000;

/** Rolling update of the weights on all engines. */
export const weightSwap: Scenario = {
  text: "Weights every step on 20 engines, 3 s to load, 8 fetches at once",
  baselines: ["roundRobin"],
  goals: [
    {
      text: "all replicas within 14 s of the announcement",
      isMet: ({ slowestSwapSeconds = Infinity }) => slowestSwapSeconds <= 14,
    },
    {
      text: "capacity never under 70%",
      isMet: ({ leastCapacityPercent = 0 }) => leastCapacityPercent >= 70,
    },
  ],
  run: (seed, policy) => runWeightSwap(seed, policy),
};

function runWeightSwap(seed: number, policy: Policy) {
  const simulation = new Simulation({ seed, policy });
  const engines = addEngines(simulation, SWAP_ENGINES);
  const swapping = new Set<string>();
  const retryAt = new Map<string, number>();
  const swapSeconds: number[] = [];
  let newest = 1;
  let announcedAt = 0;
  let minCapacityPercent = 100;
  // Baselines without fair sharing swap all engines at once.
  const isProduct = policy.isFair;
  const trainer = createTrainer(simulation, {
    trainMs: SWAP_TRAIN_MS,
    onAnnounced: (version) => {
      newest = version;
      announcedAt = simulation.now;
      startSwaps();
    },
  });
  const onSwapEnd = (engine: EngineModel) => {
    swapping.delete(engine.id);
    const isComplete = engines.every((e) => e.version === newest);
    if (isComplete) swapSeconds.push((simulation.now - announcedAt) / 1_000);
    startSwaps();
  };
  const startSwaps = () => {
    const targetIds = planSwaps({
      targets: engines.map((engine) => {
        const target = simulation.dispatcher.targets.get(engine.id);
        return {
          id: engine.id,
          version: engine.version,
          isSwapping: swapping.has(engine.id),
          isServing: target?.phase === TargetPhase.Serving,
          inFlight: target?.inFlight ?? 0,
          notBefore: retryAt.get(engine.id) ?? 0,
        };
      }),
      newest,
      maxSwapShare: isProduct ? MAX_SWAP_SHARE : 1,
      maxFetches: isProduct ? MAX_FETCHES : SWAP_ENGINES,
      now: simulation.now,
    });
    for (const id of targetIds) {
      const engine = simulation.engines.get(id);
      if (engine === undefined) continue;
      swapping.add(id);
      const isFailed = simulation.scheduler.random() < 0.03;
      const version = isFailed ? engine.version : newest;
      if (isFailed) retryAt.set(id, simulation.now + SWAP_LOAD_MS + 500);
      simulation.swapWeights(engine, {
        version,
        loadMs: SWAP_LOAD_MS,
        onEnd: () => onSwapEnd(engine),
      });
    }
    const servingCount = SWAP_ENGINES - swapping.size;
    minCapacityPercent = Math.min(
      minCapacityPercent,
      100 * servingCount / SWAP_ENGINES,
    );
  };
  simulation.every(250, startSwaps);
  const figures = runToEnd(simulation, trainer);
  return {
    figures: {
      ...figures,
      slowestSwapSeconds: Math.max(0, ...swapSeconds),
      medianSwapSeconds: percentile(swapSeconds.map((s) => s * 1_000), 50) /
        1e3,
      leastCapacityPercent: minCapacityPercent,
    },
    violations: simulation.violations,
  };
}

const NOTICE_MS = 5_000;
const RECLAIM_PERIOD_MS = 40_000;
const OUTAGE_MS = 30_000;

/** A spot zone whose engines are reclaimed at short notice. */
export const reclaim: Scenario = {
  text: "Half of the engines vanish with 5 s notice every 40 s, for 30 s",
  baselines: ["roundRobin", "leastConnections"],
  goals: [],
  run: (seed, policy) => {
    const simulation = new Simulation({ seed, policy, spotZones: ["spot"] });
    for (let i = 0; i < ENGINES / 2; i += 1) {
      simulation.addEngine(`lasting${i}`, { zone: "lasting" });
    }
    let generation = 0;
    const startSpotEngines = () => {
      generation += 1;
      // The identifiers set the order in which round robin picks engines.
      for (let i = 0; i < ENGINES / 2; i += 1) {
        simulation.addEngine(`cheap${generation}-${i}`, { zone: "spot" });
      }
    };
    startSpotEngines();
    const trainer = createTrainer(simulation);
    let spotTokens = 0;
    simulation.every(RECLAIM_PERIOD_MS, () => {
      const spotEngines = [...simulation.engines.values()]
        .filter((e) => e.zone === "spot" && e.isUp);
      for (const engine of spotEngines) simulation.leave(engine);
      simulation.scheduler.after(NOTICE_MS, () => {
        for (const engine of spotEngines) {
          simulation.crash(engine, { restarts: false });
        }
        simulation.scheduler.after(OUTAGE_MS, startSpotEngines);
      });
    });
    const figures = runToEnd(simulation, trainer);
    let generatedTokens = 0;
    for (const engine of simulation.engines.values()) {
      generatedTokens += engine.generatedTokens;
      if (engine.zone === "spot") spotTokens += engine.generatedTokens;
    }
    return {
      figures: { ...figures, cheapShare: spotTokens / generatedTokens },
      violations: simulation.violations,
    };
  },
};
