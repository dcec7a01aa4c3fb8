/** Replay of recorded traces. */
export * from "./replayer.ts";
export * from "./trace_line.ts";
