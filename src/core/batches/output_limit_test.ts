import { describe, expect, it } from "vitest";
import { outputLimitOf } from "./output_limit.ts";

describe(outputLimitOf.name, () => {
  function doTest(tokens: number, expected: number) {
    expect(outputLimitOf({ tokens })).toBe(expected);
  }

  it("grows with the tokens that are asked for", () => doTest(8_192, 524_288));

  it("has room for an answer to any request", () => doTest(1, 65_536));

  it("is bounded whatever a request asks for", () => doTest(1e9, 8_388_608));

  it("has a default for requests that do not say", () => doTest(0, 1_048_576));
});
