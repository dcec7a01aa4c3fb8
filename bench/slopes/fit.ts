/** Linear regression of measured points. */
import {
  linearRegression,
  linearRegressionLine,
  rSquared,
} from "simple-statistics";

/** A measured point. */
export interface Point {
  /** Size. */
  readonly x: number;
  /** Value of the figure at this size. */
  readonly y: number;
}

/** A regression line and its goodness of fit; stored with the results. */
export interface Fit {
  /** Value of the line at size 0. */
  readonly base: number;
  /** Growth of the figure per unit of size. */
  readonly slope: number;
  /** Coefficient of determination, from 0 to 1. */
  readonly r2: number;
  /** Maximum absolute residual of the points. */
  readonly residual: number;
}

/** Fits a line to points by least squares. */
export function fitLine(points: readonly Point[]): Fit {
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
