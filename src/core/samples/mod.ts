/** Steps and their samples. */
export * from "./hedge_policy.ts";
export * from "./sample.ts";
export * from "./staleness_gate.ts";
export * from "./step_runner.ts";
export * from "./step_spec.ts";
