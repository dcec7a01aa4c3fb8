/** Statistics of measured values. */
export * from "./percentile.ts";
export * from "./sum.ts";
