/** Statistics of measured values. */
export * from "./percentile.ts";
