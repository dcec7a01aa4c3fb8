import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EventMemory } from "./event_memory.ts";
import { EventParser } from "./event_parser.ts";
import { ResponseTooLargeError } from "./response_limits.ts";
import { UnreadableStreamError } from "./unreadable_stream_error.ts";

describe(EventParser.name, () => {
  function doTest(part: string, times: number, expectedEvents: number) {
    let events = 0;
    const parser = new EventParser({ onEvent: () => events += 1 });
    for (let i = 0; i < times; i += 1) parser.feed(part);
    expect(events).toBe(expectedEvents);
  }

  it("reads a stream that is alive by comments for hours before an event", () => {
    doTest(": waiting\n".repeat(100), 1_000, 0);
    doTest(": waiting\n\n".repeat(100), 2_000, 0);
  });

  it("reads events without end", () => doTest("data: a\n\n", 200_000, 200_000));

  for (const line of [": c\n", "id: 1\n", "event: a\n", "data\n", ":\r"]) {
    it(`ends a stream of ${JSON.stringify(line)} alone`, () => {
      const part = line.repeat(1_000);
      expect(() => doTest(part, 1_000, 0)).toThrow(ResponseTooLargeError);
    });
  }

  const UNREADABLE = {
    "fields of no meaning": "a\n",
    "retry times that are none": "retry: a\n",
    "fields of no meaning between events": "data: a\n\n" + "a\n".repeat(9),
  };
  for (const [name, part] of Object.entries(UNREADABLE)) {
    it(`ends a stream whose ${name} would take the processor`, () => {
      expect(() => doTest(part.repeat(100), 20, 0))
        .toThrow(UnreadableStreamError);
    });
  }

  it("ends the streams whose events take the memory of all", () => {
    const memory = new EventMemory(100_000);
    const create = () => new EventParser({ onEvent: () => {}, memory });
    const [large, other, small] = [create(), create(), create()];
    large.feed("data\n".repeat(1_000));
    expect(() => other.feed("data\n".repeat(1_000)))
      .toThrow(ResponseTooLargeError);
    small.feed("data: a\n");
    large.close();
    other.close();
    small.feed("data: b\n".repeat(1_000));
  });

  it("reads streams whose events all have further fields", () => {
    doTest("a: 1\nb: 2\ndata: a\n\n", 2_000, 2_000);
  });

  it("reads events alike, whichever ends the lines have", () => {
    const piece = fc.constantFrom("data: a", "id: 1", "\n", ":");
    const input = fc.array(piece, { maxLength: 12 });
    const end = fc.constantFrom("\r", "\r\n");
    fc.assert(fc.property(input, end, fc.nat(8), (pieces, lineEnd, size) => {
      const text = pieces.join("");
      const others = text.replaceAll("\n", lineEnd);
      const parts = size === 0
        ? [others]
        : others.match(new RegExp(`[^]{1,${size}}`, "g")) ?? [];
      expect(eventsOf(parts)).toEqual(eventsOf([text]));
    }));
  });

  function eventsOf(parts: readonly string[]): unknown[] {
    const events: unknown[] = [];
    const parser = new EventParser({ onEvent: (event) => events.push(event) });
    for (const part of parts) parser.feed(part);
    return events;
  }
});
