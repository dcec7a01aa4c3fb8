/** The control log's commands and state. */
export * from "./configuration_store.ts";
export * from "./control_command.ts";
export * from "./control_state.ts";
export * from "./section_digest.ts";
