/** Orders of the process in charge. */
export * from "./order_sender.ts";
