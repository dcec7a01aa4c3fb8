/** Files that must survive. */
export * from "./frame_codec.ts";
export * from "./frame_store.ts";
