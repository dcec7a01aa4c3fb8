/** Figures that a scenario measures, and the goals for them. */
import { build } from "hdr-histogram-js";

/** Figures of a run: six common ones and those of the scenario. */
export interface Figures {
  /** Mean time that the trainer waits for a step, in seconds. */
  readonly idleSeconds?: number;
  /** Mean staleness of the samples, in versions. */
  readonly versionsBehind?: number;
  /** Lowest ratio of served tokens to fair share among the workspaces. */
  readonly worstServed?: number;
  /** Cost per million useful tokens. */
  readonly costPerMillion?: number;
  /** Reports that were late or wrong. */
  readonly badReports: number;
  /** Fraction of the work that was done by spot targets. */
  readonly cheapShare?: number;
  /** Further figures of the scenario. */
  readonly [name: string]: number | undefined;
}

/** A goal of a scenario. */
export interface Goal {
  /** Description, stored with the results. */
  readonly text: string;
  /** Tests the figures of the product against the goal and the baselines. */
  readonly isMet: (
    product: Figures,
    baselines: Readonly<Record<string, Figures>>,
  ) => boolean;
}

/** Gets the arithmetic mean, or 0 if there are no values. */
export function mean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Gets a percentile of non-negative values, or 0 if there are none. */
export function percentile(values: readonly number[], percent: number): number {
  if (values.length === 0) return 0;
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) histogram.recordValue(Math.round(value));
  return histogram.getValueAtPercentile(percent);
}

/** Gets the mean of each figure over several runs. */
export function meanFigures(runs: readonly Figures[]): Figures {
  const names = new Set(runs.flatMap((figures) => Object.keys(figures)));
  const result: Record<string, number> = {};
  for (const name of names) {
    const values = runs.map((f) => f[name]).filter((v) => v !== undefined);
    result[name] = mean(values);
  }
  return { badReports: 0, ...result };
}

/** Gets the range (maximum minus minimum) of each figure over several runs. */
export function spreadOf(runs: readonly Figures[]): Record<string, number> {
  const result: Record<string, number> = {};
  for (const name of Object.keys(runs[0] ?? {})) {
    const values = runs.map((f) => f[name]).filter((v) => v !== undefined);
    result[name] = Math.max(...values) - Math.min(...values);
  }
  return result;
}
