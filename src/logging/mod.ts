/** Logging: the event catalogue, the logger and its rate limiter. */
export * from "./event_catalogue.ts";
export * from "./log_rate_limiter.ts";
export * from "./logger.ts";
