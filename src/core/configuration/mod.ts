/** Configuration document with its validation and lookups. */
export * from "./check.ts";
export * from "./configuration_view.ts";
export * from "./document.ts";
