/** Fair queueing. */
export * from "./fair_queue.ts";
