/** Steps of trainers. */
export * from "./step_forwarder.ts";
export * from "./step_port.ts";
export * from "./step_task.ts";
export * from "./usage_meter.ts";
