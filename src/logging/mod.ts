/** Logging: the event catalogue, the logger and its rate limiter. */
export * from "./event_catalogue.ts";
export * from "./event_description.ts";
export * from "./last_line_stream.ts";
export * from "./log_rate_limiter.ts";
export * from "./logger.ts";
