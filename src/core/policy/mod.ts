/** Policy of a deployment: routes, services, limits and workspaces. */
export * from "./current_policy.ts";
export * from "./homes.ts";
export * from "./policy_check.ts";
export * from "./policy_difference.ts";
export * from "./policy_document.ts";
export * from "./policy_finding.ts";
export * from "./policy_review.ts";
export * from "./policy_view.ts";
export * from "./region_map.ts";
export * from "./service_shares.ts";
