/** Settings of an instance, and loading of files. */
export * from "./fleet_settings.ts";
export * from "./load.ts";
export * from "./settings.ts";
