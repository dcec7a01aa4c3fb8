/** Capacity planning. */
export * from "./capacity_planner.ts";
export * from "./slot_planner.ts";
