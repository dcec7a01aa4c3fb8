/** Finds the outcome of a request in logs. */
export * from "./explain.ts";
