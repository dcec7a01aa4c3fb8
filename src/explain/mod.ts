/** Reconstruction of the fate of a request from logs. */
export * from "./explain.ts";
