import fc from "fast-check";
import { describe, it } from "vitest";
import { fuzzProperties } from "./properties.ts";

describe("whatever arrives from outside", () => {
  for (const { name, property } of fuzzProperties()) {
    it(`${name} break nothing`, () => {
      fc.assert(property, { seed: 7, numRuns: 300 });
    });
  }
});
