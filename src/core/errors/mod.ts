/** The base of typed errors. */
export * from "./nutmegreel_error.ts";
