/** Size of the load of `bench/leader`. */

/** Number of targets. */
export const TARGETS = 34;
/** Number of concurrent runs that a target takes. */
export const SLOTS = 8;
/** Number of runs of one round. */
export const RUNS = 250;
