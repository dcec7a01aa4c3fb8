import { describe, expect, it } from "vitest";
import { outdatedFiles } from "../scripts/catalogues.ts";
import { EVENT_CATALOGUE } from "../src/logging/mod.ts";

describe("catalogues", () => {
  it("agree with the code", () => expect(outdatedFiles()).toEqual([]));

  it("use each event number once", () => {
    const numbers = Object.values(EVENT_CATALOGUE).map((e) => e.number);
    expect(new Set(numbers).size).toBe(numbers.length);
  });
});
