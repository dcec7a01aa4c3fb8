/** Calls: requests forwarded to targets, and their usage. */
export * from "./call.ts";
export * from "./call_placement.ts";
export * from "./latency_tracker.ts";
export * from "./spread_ranking.ts";
export * from "./usage_counter.ts";
export * from "./usage_totals.ts";
export * from "./drain_limit.ts";
export * from "./drain_time.ts";
