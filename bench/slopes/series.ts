/** Measurements of figures over a range of sizes. */
import { type Fit, fitLine, type Point } from "./fit.ts";

/** Figures of one size, by name. */
export type Figures = Readonly<Record<string, number>>;

/** A measured series. */
export interface Series {
  readonly name: string;
  /** Description of the quantity that grows. */
  readonly size: string;
  /** Measured sizes and their figures. */
  readonly rows: readonly { readonly x: number; readonly figures: Figures }[];
  /** Regression line of each figure, by name. */
  readonly fits: Readonly<Record<string, Fit>>;
}

/** Options of {@link measureSeries}. */
export interface SeriesOptions {
  readonly name: string;
  /** Description of the quantity that grows. */
  readonly size: string;
  /** Sizes to measure, in this order. */
  readonly sizes: readonly number[];
  /** Measures the figures of one size. */
  readonly measure: (x: number) => Promise<Figures>;
}

/** Measures every size and fits a line to each figure. */
export async function measureSeries(options: SeriesOptions): Promise<Series> {
  const rows: { x: number; figures: Figures }[] = [];
  for (const x of options.sizes) {
    const figures = await options.measure(x);
    rows.push({ x, figures });
    const cells = Object.entries(figures)
      .map(([name, value]) => `${name} ${value.toPrecision(4)}`);
    console.log(`${options.name} ${x}: ${cells.join(", ")}`);
  }
  const fits: Record<string, Fit> = {};
  for (const name of Object.keys(rows[0].figures)) {
    const points: Point[] = rows.map(({ x, figures }) => ({
      x,
      y: figures[name],
    }));
    fits[name] = fitLine(points);
  }
  const { name, size } = options;
  return { name, size, rows, fits };
}
