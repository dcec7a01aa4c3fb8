/** Admission of calls, and their execution on targets. */
export * from "./call_gate.ts";
export * from "./call_run.ts";
export * from "./call_run_options.ts";
export * from "./caller_identity.ts";
export * from "./crash_guard.ts";
export * from "./rate_guard.ts";
export * from "./target_port.ts";
