/** A fleet of instances that finds itself by seeds. */
export * from "./fleet_command.ts";
export * from "./fleet_member.ts";
export * from "./fleet_notice.ts";
export * from "./fleet_state.ts";
export * from "./roster.ts";
export * from "./voter_count.ts";
