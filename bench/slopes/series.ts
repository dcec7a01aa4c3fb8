/** A series of measures over sizes. */
import { type Fit, fit, type Point } from "./fit.ts";

/** Figures of one size, by name. */
export type Figures = Readonly<Record<string, number>>;

/** A measured series. */
export interface Series {
  /** Name. */
  readonly name: string;
  /** What grows. */
  readonly size: string;
  /** Sizes and their figures. */
  readonly rows: readonly { readonly x: number; readonly figures: Figures }[];
  /** Line of each figure. */
  readonly fits: Readonly<Record<string, Fit>>;
}

/** Options of {@link measureSeries}. */
export interface SeriesOptions {
  /** Name. */
  readonly name: string;
  /** What grows. */
  readonly size: string;
  /** Sizes. */
  readonly sizes: readonly number[];
  /** Measures one size. */
  readonly measure: (x: number) => Promise<Figures>;
}

/** Measures every size and fits a line through each figure. */
export async function measureSeries(options: SeriesOptions): Promise<Series> {
  const rows: { x: number; figures: Figures }[] = [];
  for (const x of options.sizes) {
    const figures = await options.measure(x);
    rows.push({ x, figures });
    const text = Object.entries(figures)
      .map(([name, value]) => `${name} ${value.toPrecision(4)}`);
    console.log(`${options.name} ${x}: ${text.join(", ")}`);
  }
  const fits: Record<string, Fit> = {};
  for (const name of Object.keys(rows[0].figures)) {
    const points: Point[] = rows.map(({ x, figures }) => ({
      x,
      y: figures[name],
    }));
    fits[name] = fit(points);
  }
  const { name, size } = options;
  return { name, size, rows, fits };
}
