/** Scenarios: a simulated workload with faults, and goals for its figures. */
import type { Scheduler } from "../sim/scheduler.ts";
import type { Figures, Goal } from "./figures.ts";
import type { POLICIES, Policy } from "./policies.ts";

/** Result of one run of a scenario. */
export interface ScenarioRun {
  readonly figures: Figures;
  /** Descriptions of the invariants that were violated. */
  readonly violations: readonly string[];
}

/** A workload to run under several policies. */
export interface Scenario {
  /** Description, stored with the results. */
  readonly text: string;
  /** Names of the policies to compare with the product's. */
  readonly baselines: readonly (keyof typeof POLICIES)[];
  readonly goals: readonly Goal[];
  /** Runs the scenario once; the same seed gives the same result. */
  readonly run: (seed: number, policy: Policy) => ScenarioRun;
}

/**
 * Creates a function that draws log-normal token counts.
 * @param median - Median, in tokens.
 * @param sigma - Standard deviation of the logarithm.
 */
export function logNormal(
  scheduler: Scheduler,
  median: number,
  sigma: number,
): () => number {
  return () => {
    const uniform1 = 1 - scheduler.random();
    const uniform2 = scheduler.random();
    const normal = Math.sqrt(-2 * Math.log(uniform1)) *
      Math.cos(2 * Math.PI * uniform2);
    return Math.max(1, Math.round(median * Math.exp(sigma * normal)));
  };
}
