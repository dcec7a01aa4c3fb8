/** Configuration: document, checks, views. */
export * from "./check.ts";
export * from "./configuration_view.ts";
export * from "./document.ts";
