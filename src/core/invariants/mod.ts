/** Safety invariants asserted by the core. */
export * from "./invariant.ts";
