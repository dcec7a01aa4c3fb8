/** Choice between direct connections to targets and relayed ones. */
export * from "./path.ts";
export * from "./path_table.ts";
export * from "./relay_choice.ts";
