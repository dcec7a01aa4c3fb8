/** Durable storage of frames in files. */
export * from "./frame_codec.ts";
export * from "./frame_store.ts";
