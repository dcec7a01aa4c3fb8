/** Feed: distributes the applied control log and configuration leases. */
export * from "./feed_message.ts";
export * from "./feed_node.ts";
export * from "./lease_table.ts";
export * from "./home_authority.ts";
