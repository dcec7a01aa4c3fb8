/** The measures of a scenario and their goals. */
import { build } from "hdr-histogram-js";

/** The six measures of the users, and what a scenario adds. */
export interface Figures {
  /** Time that the trainer waits for a step, mean, in seconds. */
  readonly idleSeconds?: number;
  /** Versions that samples lie behind, mean. */
  readonly versionsBehind?: number;
  /** Service of the worst-served workspace against its fair share. */
  readonly worstServed?: number;
  /** Cost of a million useful tokens. */
  readonly costPerMillion?: number;
  /** Reports that were late or wrong. */
  readonly badReports: number;
  /** Part of the work that ran on cheap targets and counted. */
  readonly cheapShare?: number;
  /** Further figures of the scenario. */
  readonly [name: string]: number | undefined;
}

/** A goal of a scenario. */
export interface Goal {
  /** What is asked. */
  readonly text: string;
  /** Gets whether it is met. */
  readonly isMet: (
    product: Figures,
    baselines: Readonly<Record<string, Figures>>,
  ) => boolean;
}

/** Gets the mean, or 0 for none. */
export function mean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Gets a percentile of values from 0 up, or 0 for none. */
export function percentile(values: readonly number[], at: number): number {
  if (values.length === 0) return 0;
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) histogram.recordValue(Math.round(value));
  return histogram.getValueAtPercentile(at);
}

/** Gets the mean of figures over several seeds. */
export function meanFigures(all: readonly Figures[]): Figures {
  const names = new Set(all.flatMap((figures) => Object.keys(figures)));
  const result: Record<string, number> = {};
  for (const name of names) {
    const values = all.map((f) => f[name]).filter((v) => v !== undefined);
    result[name] = mean(values);
  }
  return { badReports: 0, ...result };
}

/** Gets the greatest less the least of each figure over several seeds. */
export function spreadOf(all: readonly Figures[]): Record<string, number> {
  const result: Record<string, number> = {};
  for (const name of Object.keys(all[0] ?? {})) {
    const values = all.map((f) => f[name]).filter((v) => v !== undefined);
    result[name] = Math.max(...values) - Math.min(...values);
  }
  return result;
}
