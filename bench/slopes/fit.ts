/** Straight lines through measured points. */
import {
  linearRegression,
  linearRegressionLine,
  rSquared,
} from "simple-statistics";

/** A measured point. */
export interface Point {
  /** Size. */
  readonly x: number;
  /** Figure. */
  readonly y: number;
}

/** A line and how well it fits. */
export interface Fit {
  /** Figure at size 0. */
  readonly base: number;
  /** Growth of the figure by size. */
  readonly slope: number;
  /** Part of the variance that the line explains, from 0 to 1. */
  readonly r2: number;
  /** Greatest distance of a point from the line. */
  readonly residual: number;
}

/** Gets the line through points. */
export function fit(points: readonly Point[]): Fit {
  const pairs = points.map(({ x, y }) => [x, y]);
  const { m, b } = linearRegression(pairs);
  const line = linearRegressionLine({ m, b });
  const distances = points.map(({ x, y }) => Math.abs(y - line(x)));
  return {
    base: b,
    slope: m,
    r2: rSquared(pairs, line),
    residual: Math.max(...distances),
  };
}
