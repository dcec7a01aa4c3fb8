/** Refusals of requests, and verdicts on whether requests were executed. */
export * from "./verdict.ts";
export * from "./refusal_reason.ts";
export * from "./refusal_error.ts";
export * from "./unknown_refusal.ts";
