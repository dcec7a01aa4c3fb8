/** Explaining what became of a request. */
export * from "./explain.ts";
