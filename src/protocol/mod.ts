/** Messages that arrive from outside, with their schemas. */
export * from "./completion_chunk.ts";
export * from "./step_request.ts";
