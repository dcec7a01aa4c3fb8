/** Connections to targets, and the ways by which they are opened. */
export * from "./connection_reset.ts";
export * from "./connection_state.ts";
export * from "./dial.ts";
export * from "./relay_client.ts";
export * from "./relay_eligibility.ts";
export * from "./relay_server.ts";
export * from "./relayed_paths.ts";
export * from "./target_connection.ts";
export * from "./target_connections.ts";
export * from "./target_paths.ts";
export * from "./response_handler.ts";
