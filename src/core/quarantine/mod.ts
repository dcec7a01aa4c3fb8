/** Quarantine of requests that crash targets. */
export * from "./quarantine.ts";
