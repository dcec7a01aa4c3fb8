/** Metrics. */
export * from "./metric_catalogue.ts";
export * from "./metrics.ts";
