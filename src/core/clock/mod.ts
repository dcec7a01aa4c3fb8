/** Clock for leases. */
export * from "./elapsed_clock.ts";
