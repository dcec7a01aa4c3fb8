/** Settings of an instance. */
export * from "./load.ts";
export * from "./settings.ts";
