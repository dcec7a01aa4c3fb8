/** Links between instances: messages, requests and presence. */
export * from "./peer_dialer.ts";
export * from "./peer_envelope.ts";
export * from "./peer_hub.ts";
