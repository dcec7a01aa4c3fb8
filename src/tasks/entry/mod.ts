/** The HTTP interface of an instance. */
export * from "./access_guard.ts";
export * from "./call_forwarder.ts";
export * from "./call_guard.ts";
export * from "./ledger_call_guard.ts";
export * from "./call_task.ts";
export * from "./http_context.ts";
export * from "./http_server.ts";
export * from "./operator_handlers.ts";
export * from "./route_handlers.ts";
