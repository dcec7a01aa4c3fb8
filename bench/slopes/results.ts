/** The file of measured slopes. */
import type { Series } from "./series.ts";

/** File of the committed results. */
export const RESULTS_FILE = "bench/results/slopes.json";

/** Results of all series. */
export interface SlopeResults {
  /** Machine on which they were measured. */
  readonly machine: {
    readonly cores: number;
    readonly model: string;
    readonly arch: string;
    readonly memoryGibibytes: number;
    readonly node: string;
  };
  /** Series, by name. */
  readonly series: Readonly<Record<string, Series>>;
}
