/** Capacity and cost. */
export * from "./capacity_planner.ts";
