/** Fleet whose instances discover each other through seed addresses. */
export * from "./change_counter.ts";
export * from "./departures.ts";
export * from "./evacuations.ts";
export * from "./control_contact.ts";
export * from "./first_publisher.ts";
export * from "./fleet_command.ts";
export * from "./fleet_member.ts";
export * from "./fleet_notice.ts";
export * from "./fleet_state.ts";
export * from "./replica_choice.ts";
export * from "./roster.ts";
export * from "./sender_list.ts";
export * from "./voter_count.ts";
