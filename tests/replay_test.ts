import { readdirSync, readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { matchesExpected, Replayer } from "../src/replay/mod.ts";

describe(Replayer.name, () => {
  for (const name of readdirSync("traces")) {
    it(`gives every expected outcome of ${name}`, () => {
      const text = readFileSync(`traces/${name}`, "utf8");
      const outcomes = new Replayer().run(text);
      expect(outcomes.length).toBeGreaterThan(0);
      expect(outcomes.filter((outcome) => !outcome.isMet)).toEqual([]);
    });
  }

  it("reports an outcome that differs from the expected one", () => {
    const line = '{"do":"present","with":{"id":"x"},"expect":{"reason":"no"}}';
    expect(new Replayer().run(line)).toMatchObject([
      { line: 1, isMet: false, actual: { reason: "keyUnknown" } },
    ]);
  });

  it("reports the line number of an unknown action", () => {
    expect(() => new Replayer().run('{"do":"nothing"}'))
      .toThrow("Line 1: unknown action nothing");
  });
});

describe(matchesExpected.name, () => {
  it("compares the expected members of objects, and complete lists", () => {
    expect(matchesExpected({ a: 1, b: 2 }, { a: 1 })).toBe(true);
    expect(matchesExpected([{ a: 1 }], [])).toBe(false);
    expect(matchesExpected({ a: 1 }, { a: 2 })).toBe(false);
  });
});
