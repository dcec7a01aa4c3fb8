/** Calls of callers that are passed on to targets. */
export * from "./call.ts";
export * from "./call_placement.ts";
export * from "./latency_book.ts";
export * from "./usage_counter.ts";
export * from "./usage_book.ts";
