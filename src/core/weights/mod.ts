/** Weight versions. */
export * from "./swap_planner.ts";
