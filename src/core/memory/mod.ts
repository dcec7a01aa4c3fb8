/** Division of a machine's memory. */
export * from "./memory_plan.ts";
