import fc from "fast-check";
import { usedBytes } from "../../../tests/support/garbage_collection.ts";
import { describe, expect, it } from "vitest";
import { EventFramer, EventTooLargeError } from "./event_framer.ts";

describe(EventFramer.name, () => {
  /** Pushes a stream in parts; gets the texts and numbers of the events. */
  function doTest(
    parts: readonly string[],
    expected: readonly (readonly [string, number | undefined])[],
    expectedRest = "",
  ) {
    const framer = new EventFramer();
    const frames = parts.flatMap((part) => framer.push(Buffer.from(part)));
    const rest = Buffer.from(framer.takeRemainder()).toString();
    expect(frames.map(({ bytes, id }) => [Buffer.from(bytes).toString(), id]))
      .toEqual(expected);
    expect(rest).toBe(expectedRest);
  }

  it("gets complete events with their numbers", () =>
    doTest(
      ["id: 1\ndata: a\n\nid:2\ndata: b\n\n"],
      [["id: 1\ndata: a\n\n", 1], ["id:2\ndata: b\n\n", 2]],
    ));

  it("keeps back an event that is not complete", () =>
    doTest(
      ["id: 1\ndata: a\n\nid: 2\nda"],
      [["id: 1\ndata: a\n\n", 1]],
      "id: 2\nda",
    ));

  it("gets events without a number, and numbers that are none", () =>
    doTest(
      [": ping\n\nid: x\n\n"],
      [[": ping\n\n", undefined], ["id: x\n\n", undefined]],
    ));

  it("reads each kind of line end", () => {
    doTest(["id: 1\r\rid: 2\r\r"], [["id: 1\r\r", 1], ["id: 2\r\r", 2]]);
    doTest(
      ["id: 1\r", "\n\r", "\nid: 2\r\n\r\n"],
      [["id: 1\r\n\r", 1], ["\nid: 2\r\n\r", 2]],
      "\n",
    );
  });

  it("gets the same events however the stream is divided", () => {
    const event = fc.record({
      id: fc.nat(),
      data: fc.string().map((text) => text.replaceAll(/[\r\n]/g, "")),
      end: fc.constantFrom("\n", "\r\n"),
    });
    const cuts = fc.array(fc.nat(200), { maxLength: 6 });
    fc.assert(fc.property(fc.array(event), cuts, (events, at) => {
      const text = events
        .map(({ id, data, end }) => `id: ${id}${end}data: ${data}${end}${end}`)
        .join("");
      const bytes = Buffer.from(text);
      const edges = [0, ...at.sort((a, b) => a - b), bytes.length];
      const framer = new EventFramer();
      const frames = edges.slice(1)
        .flatMap((edge, i) => framer.push(bytes.subarray(edges[i], edge)));
      const all = [
        ...frames.map((frame) => frame.bytes),
        framer.takeRemainder(),
      ];
      expect(Buffer.concat(all).toString()).toBe(text);
      expect(frames.map(({ id }) => id)).toEqual(events.map(({ id }) => id));
    }));
  });

  it("throws for an event without an end", () => {
    const framer = new EventFramer();
    const push = () => framer.push(Buffer.alloc(600_000, "x"));
    push();
    expect(push).toThrow(EventTooLargeError);
  });

  it("takes little more memory than an event, however small its parts", () => {
    const bytes = 1_000_000;
    const framer = new EventFramer();
    const before = usedBytes();
    for (let i = 0; i < bytes; i += 1) framer.push(Buffer.from("a"));
    expect(usedBytes() - before).toBeLessThan(16 * bytes);
    expect(framer.takeRemainder()).toHaveLength(bytes);
  });
});
