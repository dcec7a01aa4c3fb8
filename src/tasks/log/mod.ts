/** Replicated logs: storage, driver and proposals. */
export * from "./log_driver.ts";
export * from "./log_driver_options.ts";
export * from "./log_store.ts";
export * from "./state_files.ts";
export * from "./state_machine.ts";
export * from "./log_service.ts";
export * from "./proposal_waiters.ts";
