/** Targets that register themselves. */
export * from "./target_registry.ts";
export * from "./target_report.ts";
