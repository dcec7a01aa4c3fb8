/** Dispatch of work to targets, and probes of their health. */
export * from "./caller_sink.ts";
export * from "./dispatch_task.ts";
export * from "./exchange.ts";
export * from "./job.ts";
export * from "./probe_task.ts";
export * from "./sample_sink.ts";
export * from "./target_prober.ts";
