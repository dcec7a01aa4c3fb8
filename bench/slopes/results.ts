/** Format of the stored slope measurements. */
import type { Series } from "./series.ts";

/** File of the committed results, relative to the root of the repository. */
export const RESULTS_FILE = "bench/results/slopes.json";

/** Results of all series. */
export interface SlopeResults {
  /** Machine on which the series were last measured. */
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
