/** The dispatcher: admission, queueing, placing and retries. */
export * from "./attempt.ts";
export * from "./dispatcher.ts";
export * from "./fingerprint_spread.ts";
export * from "./pool.ts";
export * from "./work_item.ts";
