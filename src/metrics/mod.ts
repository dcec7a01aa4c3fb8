/** Metrics: the catalogue, the recorder and the text format. */
export * from "./metric_catalogue.ts";
export * from "./metrics.ts";
export * from "./metrics_text.ts";
