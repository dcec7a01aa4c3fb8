/** Sending of orders to the platform and to targets by the control leader. */
export * from "./order_sender.ts";
