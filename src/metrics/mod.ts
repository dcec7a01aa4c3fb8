/** Metrics. */
export * from "./metric_catalogue.ts";
export * from "./metrics.ts";
export * from "./metrics_text.ts";
