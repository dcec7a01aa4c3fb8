import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { usedBytes } from "../../../tests/support/garbage_collection.ts";
import { ByteCollector } from "./byte_collector.ts";

describe(ByteCollector.name, () => {
  function doTest(parts: readonly Uint8Array[]) {
    const collector = new ByteCollector();
    for (const part of parts) collector.add(part);
    const expected = Buffer.concat(parts);
    expect(collector.length).toBe(expected.length);
    expect(collector.bytes.equals(expected)).toBe(true);
    expect(collector.take().equals(expected)).toBe(true);
    expect(collector.length).toBe(0);
    expect(collector.take()).toHaveLength(0);
  }

  it("is empty at first", () => doTest([]));

  it("joins parts of any size", () => {
    const part = fc.uint8Array({ maxLength: 40 });
    fc.assert(fc.property(fc.array(part), doTest));
    doTest([Buffer.alloc(200_000, 1), Buffer.alloc(1), Buffer.alloc(70_000)]);
  });

  it("keeps a copy of a part", () => {
    const part = Buffer.from("a");
    const collector = new ByteCollector().add(part);
    part.fill("b");
    expect(collector.bytes.toString()).toBe("a");
  });

  it("takes little more memory than the bytes, however small the parts", () => {
    const bytes = 1_048_576;
    const collector = new ByteCollector();
    const before = usedBytes();
    for (let i = 0; i < bytes; i += 1) collector.add(Buffer.alloc(1));
    expect(usedBytes() - before).toBeLessThan(8 * bytes);
    expect(collector.length).toBe(bytes);
  });
});
