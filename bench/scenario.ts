/** A scenario: a world, what happens in it, and what it is to reach. */
import type { Scheduler } from "../sim/scheduler.ts";
import type { Figures, Goal } from "./figures.ts";
import type { POLICIES, Policy } from "./policies.ts";

/** Result of one run. */
export interface ScenarioRun {
  /** Measures. */
  readonly figures: Figures;
  /** Promises that were broken. */
  readonly violations: readonly string[];
}

/** A scenario. */
export interface Scenario {
  /** What it shows. */
  readonly text: string;
  /** Baselines that run beside the product. */
  readonly baselines: readonly (keyof typeof POLICIES)[];
  /** Goals. */
  readonly goals: readonly Goal[];
  /** Makes one run. */
  readonly run: (seed: number, policy: Policy) => ScenarioRun;
}

/**
 * Creates a source of log-normal token counts.
 * @param median - Median, in tokens.
 * @param sigma - Spread of the logarithm.
 */
export function logNormal(
  scheduler: Scheduler,
  median: number,
  sigma: number,
): () => number {
  return () => {
    const u = 1 - scheduler.random();
    const v = scheduler.random();
    const z = Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * v);
    return Math.max(1, Math.round(median * Math.exp(sigma * z)));
  };
}
