/** Logs. */
export * from "./event_catalogue.ts";
export * from "./logger.ts";
