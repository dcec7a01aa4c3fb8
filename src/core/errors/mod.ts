/** Base class of errors. */
export * from "./nutmegreel_error.ts";
