import { describe, expect, it } from "vitest";
import { getJsonPosition, type TextPosition } from "./json_position.ts";

describe(getJsonPosition, () => {
  function doTest(source: string, expected: TextPosition | undefined) {
    let error: unknown;
    try {
      JSON.parse(source);
    } catch (err) {
      error = err;
    }
    expect(getJsonPosition(source, error as SyntaxError)).toEqual(expected);
  }

  it("finds errors whose message has their position", () => {
    doTest('{\n  "a": 1,\n}', { line: 3, column: 1 });
    doTest('{"a":1', { line: 1, column: 7 });
  });

  it("finds errors whose message quotes the text around them", () =>
    doTest('{\n  "a": "one",\n  "b": oops\n}', { line: 3, column: 8 }));

  it("finds the end of an incomplete document", () => {
    doTest("", { line: 1, column: 1 });
    doTest('{"a":\n', { line: 2, column: 1 });
  });

  it("finds no place if the quoted text occurs more than once", () => {
    const value = '["aaaaaaaaaa", oops, "bbbbbb"]';
    doTest(`[${value}, ${value}]`, undefined);
  });

  it("finds no place in a document whose start is quoted", () =>
    doTest("hello", undefined));
});
