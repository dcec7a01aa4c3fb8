/** Commands and state of the control log. */
export * from "./configuration_store.ts";
export * from "./control_command.ts";
export * from "./control_state.ts";
export * from "./sealed_windows.ts";
export * from "./section_digest.ts";
