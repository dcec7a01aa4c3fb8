/** Dispatching: admission, queueing, placement and retries of requests. */
export * from "./attempt.ts";
export * from "./dispatcher.ts";
export * from "./drain_rate_meter.ts";
export * from "./fingerprint_limiter.ts";
export * from "./pool.ts";
export * from "./work_item.ts";
