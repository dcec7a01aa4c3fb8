import fc from "fast-check";
import { describe, it } from "vitest";
import { getFuzzProperties } from "./properties.ts";

describe("fuzzed input", () => {
  for (const { name, property } of getFuzzProperties()) {
    it(`${name}: decoded or rejected without an unexpected error`, () => {
      fc.assert(property, { seed: 7, numRuns: 300 });
    });
  }
});
