/** Decides which target may go on with an output that another one began. */
export * from "./output_writer.ts";
export * from "./stream_directory.ts";
export * from "./event_framer.ts";
export * from "./event_tail.ts";
