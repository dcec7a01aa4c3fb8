/** Registry of targets, which register themselves by reports. */
export * from "./cold_time.ts";
export { isNewer, isSameExceptVersions } from "./report_comparison.ts";
export * from "./target_registry.ts";
export * from "./target_report.ts";
