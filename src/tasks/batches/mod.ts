/** Batches: the ledger, and the runs of its leader. */
export * from "./batch_port.ts";
export * from "./batch_runner.ts";
export * from "./batch_task.ts";
export * from "./engine_port.ts";
