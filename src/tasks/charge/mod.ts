/** What only one process at a time may do. */
export * from "./charge_task.ts";
export * from "./usage_task.ts";
export * from "./weights_task.ts";
