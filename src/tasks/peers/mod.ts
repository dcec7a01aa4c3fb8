/** Links between instances: messages, requests and presence. */
export * from "./malformed_request_error.ts";
export * from "./peer_dialer.ts";
export * from "./peer_envelope.ts";
export * from "./peer_hub.ts";
export type { TunnelListener } from "./peer_links.ts";
export type { RequestHandler } from "./request_handlers.ts";
