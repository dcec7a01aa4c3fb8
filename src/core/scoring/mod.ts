/** Scoring of generated texts by calls to a service. */
export * from "./scoring_faults.ts";
export * from "./scoring_queue.ts";
