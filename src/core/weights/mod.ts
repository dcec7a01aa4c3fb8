/** Planning of weight loads. */
export * from "./swap_planner.ts";
export * from "./model_assignment.ts";
export * from "./due_loads.ts";
