/** Ledger of a data centre: the replicated record of steps, calls and usage. */
export * from "./call_ledger.ts";
export * from "./ledger_record.ts";
export * from "./ledger_state.ts";
export * from "./step_ledger.ts";
export * from "./usage_ledger.ts";
export * from "./ledger_effect.ts";
export * from "./ledger_log.ts";
export * from "./ledger_message.ts";
export * from "./ledger_options.ts";
export * from "./ledger_replica.ts";
export * from "./view_policy.ts";
