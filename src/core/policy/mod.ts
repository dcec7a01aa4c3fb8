/** Policy of a deployment: routes, services, limits and workspaces. */
export * from "./policy_check.ts";
export * from "./policy_document.ts";
export * from "./policy_view.ts";
