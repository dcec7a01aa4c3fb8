/** Execution of the steps that trainers submit, and usage counters. */
export * from "./step_forwarder.ts";
export * from "./step_port.ts";
export * from "./step_task.ts";
export * from "./usage_meter.ts";
export * from "./usage_writer.ts";
