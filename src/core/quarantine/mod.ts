/** Quarantine of requests that crash targets. */
export * from "./open_deaths.ts";
export * from "./quarantine.ts";
export * from "./trial_limiter.ts";
