/** Batches of items: state, ordering and placement. */
export * from "./batch.ts";
export * from "./batch_command.ts";
export * from "./batch_record.ts";
export * from "./batch_state.ts";
export * from "./item_order.ts";
export * from "./item_placement.ts";
export * from "./process_lag.ts";
export * from "./run_text.ts";
export * from "./start_pacer.ts";
export * from "./target_pace.ts";
export * from "./result_cache.ts";
export * from "./demand_meter.ts";
export * from "./item_tracker.ts";
export * from "./prompt_locations.ts";
export * from "./run_estimator.ts";
export * from "./run_move.ts";
export * from "./pending_loads.ts";
