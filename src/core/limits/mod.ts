/** Workspace limits and concurrency windows of targets. */
export * from "./adaptive_window.ts";
export * from "./permit_issuer.ts";
export * from "./permit_store.ts";
export * from "./slow_start.ts";
export * from "./token_bucket.ts";
export * from "./workspace_limits.ts";
