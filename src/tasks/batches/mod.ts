/** The replicated ledger of batches, and the runner on its leader. */
export * from "./batch_port.ts";
export * from "./batch_runner.ts";
export * from "./batch_task.ts";
export * from "./engine_port.ts";
export type { ScoringPort } from "./item_scorer.ts";
