export * from "./as_buffer.ts";
export { ByteCollector } from "./byte_collector.ts";
export * from "./text_digest.ts";
export * from "./text_location.ts";
