/** Logging: the event catalogue, the logger and its rate limiter. */
export * from "./event_catalogue.ts";
export * from "./log_budget.ts";
export * from "./logger.ts";
