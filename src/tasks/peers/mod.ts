/** Links between instances. */
export * from "./peer_envelope.ts";
export * from "./peer_hub.ts";
