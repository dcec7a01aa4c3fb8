import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EventFramer } from "./event_framer.ts";
import { EventTail } from "./event_tail.ts";

describe(EventTail.name, () => {
  function doTest(parts: readonly string[], expected: boolean) {
    const tail = new EventTail();
    for (const part of parts) tail.push(part);
    expect(tail.isInEvent).toBe(expected);
  }

  it("is in no event before the first one and after the last", () => {
    doTest([], false);
    doTest(["data: a\n\n"], false);
    doTest(["data: a\r\n\r\n"], false);
  });

  it("is in an event that has begun", () => {
    doTest(["data: a\n\nd"], true);
    doTest(["data: a\n"], true);
    doTest(["data: a\r\n"], true);
  });

  it("is in no event within a comment", () => doTest([": ping"], false));

  it("counts what came since the last end of an event", () => {
    const tail = new EventTail();
    expect(tail.length).toBe(0);
    expect(tail.push("data: a\n\n").length).toBe(0);
    expect(tail.push(": a\n").length).toBe(4);
    expect(tail.push(": b\n").length).toBe(8);
    expect(tail.push("\n:").length).toBe(1);
  });

  it("counts the fields since the last end of an event", () => {
    const tail = new EventTail();
    expect(tail.push("data: a\n\n: c\n").fieldCount).toBe(0);
    expect(tail.push("data: b\nid: 1").fieldCount).toBe(2);
    expect(tail.push("2\ndata").fieldCount).toBe(3);
    expect(tail.push("\n\n").fieldCount).toBe(0);
  });

  it("agrees with the framer, however the stream is divided", () => {
    const piece = fc.constantFrom("a", ":", "\n", "\r", "id: 1");
    fc.assert(fc.property(fc.array(piece, { maxLength: 12 }), (parts) => {
      const framer = new EventFramer();
      for (const part of parts) framer.push(Buffer.from(part));
      doTest(parts, framer.isInEvent);
    }));
  });
});
