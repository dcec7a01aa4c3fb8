export { ByteCollector } from "./byte_collector.ts";
export * from "./text_location.ts";
