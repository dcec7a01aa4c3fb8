/** Clocks. */
export * from "./elapsed_clock.ts";
