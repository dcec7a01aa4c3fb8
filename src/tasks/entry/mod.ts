/** The HTTP entry of an instance. */
export * from "./call_once.ts";
export * from "./call_task.ts";
export * from "./http_server.ts";
export * from "./operator_handlers.ts";
export * from "./route_handlers.ts";
