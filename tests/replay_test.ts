import { readdirSync, readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { holds, Replayer } from "../src/replay/mod.ts";

describe(Replayer.name, () => {
  for (const name of readdirSync("traces")) {
    it(`meets every stated outcome of ${name}`, () => {
      const text = readFileSync(`traces/${name}`, "utf8");
      const outcomes = new Replayer().run(text);
      expect(outcomes.length).toBeGreaterThan(0);
      expect(outcomes.filter((outcome) => !outcome.isMet)).toEqual([]);
    });
  }

  it("says which stated outcome is not met", () => {
    const line = '{"do":"present","with":{"id":"x"},"expect":{"reason":"no"}}';
    expect(new Replayer().run(line)).toMatchObject([
      { line: 1, isMet: false, actual: { reason: "keyUnknown" } },
    ]);
  });

  it("names the line of a malformed trace", () => {
    expect(() => new Replayer().run('{"do":"nothing"}'))
      .toThrow("Line 1: unknown action nothing");
  });
});

describe(holds.name, () => {
  it("compares named members and whole lists", () => {
    expect(holds({ a: 1, b: 2 }, { a: 1 })).toBe(true);
    expect(holds([{ a: 1 }], [])).toBe(false);
    expect(holds({ a: 1 }, { a: 2 })).toBe(false);
  });
});
