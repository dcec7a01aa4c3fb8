/** Reads the logs of instances. */
export * from "./explain.ts";
export * from "./loss_summary.ts";
export * from "./output_summary.ts";
