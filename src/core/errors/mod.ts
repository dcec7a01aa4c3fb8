/** Errors and guard helpers. */
export * from "./nutmegreel_error.ts";
export * from "./throw_helpers.ts";
