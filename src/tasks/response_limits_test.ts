import { describe, expect, it } from "vitest";
import { createEventParser, ResponseTooLargeError } from "./response_limits.ts";

describe(createEventParser.name, () => {
  function doTest(part: string, times: number, expectedEvents: number) {
    let events = 0;
    const parser = createEventParser({ onEvent: () => events += 1 });
    for (let i = 0; i < times; i += 1) parser.feed(part);
    expect(events).toBe(expectedEvents);
  }

  it("reads a stream that is alive by comments for hours before an event", () => {
    doTest(": waiting\n".repeat(100), 1_000, 0);
    doTest(": waiting\n\n".repeat(100), 2_000, 0);
  });

  it("reads events without end", () => doTest("data: a\n\n", 200_000, 200_000));

  for (const line of [": c\n", "id: 1\n", "event: a\n", "data\n", "a\r"]) {
    it(`ends a stream of ${JSON.stringify(line)} alone`, () => {
      const part = line.repeat(1_000);
      expect(() => doTest(part, 1_000, 0)).toThrow(ResponseTooLargeError);
    });
  }
});
