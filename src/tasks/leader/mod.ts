/**
 * Tasks that only one instance may run at a time: the control leader or the
 * ledger primary of a data centre.
 */
export * from "./order_delivery_task.ts";
export * from "./usage_sealing_task.ts";
export * from "./weight_swap_task.ts";
