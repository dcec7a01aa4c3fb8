/** Limits of workspaces and windows of targets. */
export * from "./adaptive_window.ts";
export * from "./token_bucket.ts";
export * from "./workspace_limits.ts";
