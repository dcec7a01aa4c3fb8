export { ByteCollector } from "./byte_collector.ts";
