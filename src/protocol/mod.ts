/** Schemas of messages from callers, trainers and targets. */
export * from "./completion_chunk.ts";
export * from "./step_request.ts";
