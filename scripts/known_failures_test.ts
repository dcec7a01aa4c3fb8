import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { parseKnownFailures } from "./known_failures.ts";

const NAME = "tests/a_test.ts > a park > opens at nine";

describe(parseKnownFailures.name, () => {
  function doTest(lines: readonly string[], expected: readonly string[]) {
    expect([...parseKnownFailures(lines.join("\n"))]).toEqual(expected);
  }

  function doRejectionTest(lines: readonly string[]) {
    expect(() => parseKnownFailures(lines.join("\n"))).toThrow("line");
  }

  it("gets the test of an entry", () =>
    doTest(["# Known failures", "", "- Title", `  Test: ${NAME}`], [NAME]));

  it("gets no name from an entry without a test line", () =>
    doTest(["- Title", `  Seen: Test: ${NAME}`, "  Not a test of ours."], []));

  it("rejects a test line outside an entry", () =>
    doRejectionTest(["- Title", "", `  Test: ${NAME}`]));

  it("rejects a test line without indentation", () =>
    doRejectionTest([`Test: ${NAME}`]));

  it("rejects another spelling of the keyword", () =>
    doRejectionTest(["- Title", `  test: ${NAME}`]));

  it("rejects a test line in the title of an entry", () =>
    doRejectionTest([`- Test: ${NAME}`]));

  it("rejects a file without a suite and a test", () =>
    doRejectionTest(["- Title", "  Test: tests/a_test.ts"]));

  it("rejects a suite without a test", () =>
    doRejectionTest(["- Title", "  Test: tests/a_test.ts > a park"]));

  it("rejects an empty name", () => doRejectionTest(["- Title", "  Test: "]));

  it("rejects trailing space after the name", () =>
    doRejectionTest(["- Title", `  Test: ${NAME} `]));

  it("rejects a test that is listed twice", () =>
    doRejectionTest(["- Title", `  Test: ${NAME}`, `  Test: ${NAME}`]));

  it("accepts the list of this repository", () => {
    const text = readFileSync("KNOWN-RED.txt", "utf8");
    expect(() => parseKnownFailures(text)).not.toThrow();
  });
});
