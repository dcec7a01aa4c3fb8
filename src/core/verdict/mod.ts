/** Verdicts and refusals. */
export * from "./verdict.ts";
export * from "./refusal_reason.ts";
export * from "./refusal_error.ts";
