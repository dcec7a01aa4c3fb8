import { describe, expect, it } from "vitest";
import { isNestedDeeper, MAX_BODY_DEPTH, parseBoundedJson } from "./nesting.ts";

describe(parseBoundedJson.name, () => {
  function doTest(text: string, isAccepted: boolean) {
    const parse = () => parseBoundedJson(text);
    if (isAccepted) expect(parse()).toEqual(JSON.parse(text));
    else expect(parse).toThrow(SyntaxError);
  }

  const nested = (depth: number) => "[".repeat(depth) + "]".repeat(depth);

  it("refuses a body that is nested too deep", () => {
    doTest(nested(MAX_BODY_DEPTH), true);
    doTest(nested(MAX_BODY_DEPTH + 1), false);
    doTest(`{"a":${nested(200_000)}}`, false);
  });

  it("does not count brackets in strings", () => {
    doTest(JSON.stringify(`${'\\"'.repeat(3)}${"[".repeat(100)}`), true);
    doTest(JSON.stringify(["\\", "{".repeat(100)]), true);
  });

  it("refuses text that is no JSON", () => {
    doTest('{"a":"', false);
    doTest("]".repeat(100), false);
  });
});

describe(isNestedDeeper.name, () => {
  function doTest(value: unknown, maxDepth: number, expected: boolean) {
    expect(isNestedDeeper(value, maxDepth)).toBe(expected);
  }

  it("measures arrays and objects", () => {
    doTest([{ a: [1] }], 3, false);
    doTest([{ a: [1] }], 2, true);
    doTest("text", 0, false);
    doTest(null, 0, false);
  });

  it("takes bytes for a scalar", () => doTest(new Uint8Array(9), 0, false));
});
