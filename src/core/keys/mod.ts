/** API keys of the callers. */
export * from "./key_directory.ts";
export * from "./key_record.ts";
