/** Policy of a deployment: routes, services, limits and workspaces. */
export * from "./homes.ts";
export * from "./policy_check.ts";
export * from "./policy_document.ts";
export * from "./policy_view.ts";
export * from "./region_map.ts";
