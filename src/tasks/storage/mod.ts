/** Durable storage of frames in files. */
export * from "./close_on_error.ts";
export * from "./damaged_folder.ts";
export * from "./frame_codec.ts";
export * from "./frame_store.ts";
export type { TextForms } from "./message_pack_reader.ts";
export * from "./text_files.ts";
export * from "./write_fully.ts";
