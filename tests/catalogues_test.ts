import { describe, expect, it } from "vitest";
import { outdatedFiles } from "../scripts/catalogues.ts";
import { EVENT_CATALOGUE } from "../src/logging/mod.ts";

describe("generated catalogues", () => {
  it("match the code", () => expect(outdatedFiles()).toEqual([]));

  it("give each event a unique number", () => {
    const numbers = Object.values(EVENT_CATALOGUE).map((e) => e.number);
    expect(new Set(numbers).size).toBe(numbers.length);
  });
});
