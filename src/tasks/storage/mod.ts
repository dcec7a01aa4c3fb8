/** Durable storage of frames in files. */
export * from "./close_on_error.ts";
export * from "./damaged_folder.ts";
export * from "./frame_codec.ts";
export * from "./frame_store.ts";
export * from "./write_fully.ts";
