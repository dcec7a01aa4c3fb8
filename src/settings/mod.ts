/** Settings of an instance. */
export * from "./fleet_settings.ts";
export * from "./load.ts";
export * from "./settings.ts";
