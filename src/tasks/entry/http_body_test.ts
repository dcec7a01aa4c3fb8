import { describe, expect, it } from "vitest";
import { RefusalError } from "../../core/verdict/mod.ts";
import { parseJsonOrThrow } from "./http_body.ts";

describe(parseJsonOrThrow.name, () => {
  function doTest(text: string, expected: object | undefined) {
    const parse = () => parseJsonOrThrow(Buffer.from(text));
    if (expected === undefined) expect(parse).toThrow(RefusalError);
    else expect(parse()).toEqual(expected);
  }

  // Guards against bodies in the log that no instance can encode.
  it("refuses an object that is nested deeply", () => {
    for (const depth of [2_000, 200_000]) {
      const nested = `${"[".repeat(depth)}${"]".repeat(depth)}`;
      doTest(`{"model":"m","other":${nested}}`, undefined);
    }
  });

  it("parses an object", () => {
    doTest('{"model":"m","tools":[{"a":[{}]}]}', {
      model: "m",
      tools: [{ a: [{}] }],
    });
    for (const text of ["", "[]", "7", "null", "{"]) doTest(text, undefined);
  });
});
