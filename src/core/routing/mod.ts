/** Routing: targets, their health and load, and target selection. */
export * from "./picker.ts";
export * from "./prefix_map.ts";
export * from "./speed_model.ts";
export * from "./target.ts";
export * from "./target_lifecycle.ts";
export * from "./target_table.ts";
export * from "./prober_assignment.ts";
