import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { parseKnownFailures } from "./known_failures.ts";

const NAME = "tests/a_test.ts > a park > opens at nine";

describe(parseKnownFailures.name, () => {
  function doTest(lines: readonly string[], expected: readonly string[]) {
    expect([...parseKnownFailures(lines.join("\n"))]).toEqual(expected);
  }

  function doRefusalTest(lines: readonly string[]) {
    expect(() => parseKnownFailures(lines.join("\n"))).toThrow("line");
  }

  it("gets the test of an entry", () =>
    doTest(["# Known failures", "", "- Title", `  Test: ${NAME}`], [NAME]));

  it("gets nothing of an entry without such a line", () =>
    doTest(["- Title", `  Seen: Test: ${NAME}`, "  Not a test of ours."], []));

  it("refuses a line outside an entry", () =>
    doRefusalTest(["- Title", "", `  Test: ${NAME}`]));

  it("refuses a line without indent", () => doRefusalTest([`Test: ${NAME}`]));

  it("refuses another spelling", () =>
    doRefusalTest(["- Title", `  test: ${NAME}`]));

  it("refuses a name in the title of an entry", () =>
    doRefusalTest([`- Test: ${NAME}`]));

  it("refuses a whole file", () =>
    doRefusalTest(["- Title", "  Test: tests/a_test.ts"]));

  it("refuses a whole suite", () =>
    doRefusalTest(["- Title", "  Test: tests/a_test.ts > a park"]));

  it("refuses an empty name", () => doRefusalTest(["- Title", "  Test: "]));

  it("refuses space after the name", () =>
    doRefusalTest(["- Title", `  Test: ${NAME} `]));

  it("refuses a test that is listed twice", () =>
    doRefusalTest(["- Title", `  Test: ${NAME}`, `  Test: ${NAME}`]));

  it("reads the list of this repository", () => {
    const text = readFileSync("KNOWN-RED.txt", "utf8");
    expect(() => parseKnownFailures(text)).not.toThrow();
  });
});
