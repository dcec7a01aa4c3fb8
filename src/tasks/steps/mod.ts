/** Steps of trainers. */
export * from "./step_task.ts";
export * from "./usage_meter.ts";
