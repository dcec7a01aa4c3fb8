/** Quarantine of requests that crash targets. */
export * from "./quarantine.ts";
export * from "./trial_limiter.ts";
