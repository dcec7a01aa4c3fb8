/** Consensus (Raft) for replicated logs. */
export * from "./consensus_effect.ts";
export * from "./estimate_bytes.ts";
export * from "./consensus_message.ts";
export * from "./consensus_node.ts";
export * from "./consensus_options.ts";
export * from "./log_entry.ts";
export * from "./members.ts";
export * from "./replica_id.ts";
export * from "./replicated_log.ts";
export * from "./role.ts";
export * from "./snapshot_parts.ts";
export { compareTransfers } from "./snapshot_receiver.ts";
export * from "./membership_repair.ts";
export * from "./state_references.ts";
