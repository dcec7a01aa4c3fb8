import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { afterEach, describe, expect, it } from "vitest";
import ClosingLineReporter from "./closing_line_reporter.ts";

const RUNNER = resolve("node_modules/vitest/vitest.mjs");
const REPORTER = resolve("scripts/closing_line_reporter.ts");
const LIST = "# Known failures\n\n- Gate\n  Test: a_test.ts > gate > opens\n";
const PASSING = 'it("closes", () => {});';
const FAILING = 'it("opens", () => { throw new Error("It is stuck"); });';

/** Exit code and output lines of a Vitest process. */
interface RunnerResult {
  readonly code: number | string | null | undefined;
  readonly lines: readonly string[];
}

describe(ClosingLineReporter.name, () => {
  let folder: string | undefined;
  afterEach(() => {
    if (folder !== undefined) rmSync(folder, { recursive: true, force: true });
  });

  /** Runs Vitest in a temporary repository with one test file and a list. */
  function runReporter(
    test: string,
    list: string | undefined,
  ): Promise<RunnerResult> {
    const root = folder = mkdtempSync(join(tmpdir(), "reporter-"));
    const options = {
      include: ["*_test.ts"],
      globals: true,
      reporters: ["default", REPORTER],
    };
    const write = (name: string, text: string) =>
      writeFileSync(join(root, name), text);
    write(
      "vitest.config.mjs",
      `export default ${
        JSON.stringify({
          test: options,
        })
      };`,
    );
    if (test !== "") write("a_test.ts", test);
    if (list !== undefined) write("KNOWN-RED.txt", list);
    const env = Object.fromEntries(
      Object.entries(process.env).filter(([name]) =>
        !name.startsWith("VITEST")
      ),
    );
    const args = [RUNNER, "run", "--root", root];
    return new Promise((resolve) =>
      execFile(process.execPath, args, { env }, (err, stdout) =>
        resolve({
          code: err === null ? 0 : err.code,
          lines: stdout.trimEnd().split("\n"),
        }))
    );
  }

  async function doTest(
    input: { test: string; list?: string },
    expected: { code: number; last: string; lines?: readonly string[] },
  ) {
    const { code, lines } = await runReporter(input.test, input.list);
    expect({ code, last: lines.at(-1) })
      .toEqual({ code: expected.code, last: expected.last });
    expect(lines).toEqual(expect.arrayContaining([...expected.lines ?? []]));
  }

  it("passes a run in which all tests pass", () =>
    doTest(
      { test: `describe("gate", () => { ${PASSING} });`, list: "" },
      { code: 0, last: "1 passed, 0 failed" },
    ));

  it("fails a run if a test fails that is not listed", () =>
    doTest(
      { test: `describe("gate", () => { ${PASSING}${FAILING} });`, list: "" },
      { code: 1, last: "1 passed, 1 failed" },
    ));

  it("ignores and prints a listed test that fails", () =>
    doTest(
      { test: `describe("gate", () => { ${PASSING}${FAILING} });`, list: LIST },
      {
        code: 0,
        last: "1 passed, 0 failed",
        lines: ["known failures: 1", "  a_test.ts > gate > opens"],
      },
    ));

  it("fails a run if a test of the same name fails in another suite", () =>
    doTest(
      { test: `describe("door", () => { ${FAILING} });`, list: LIST },
      {
        code: 1,
        last: "0 passed, 2 failed",
        lines: ["failures outside tests: 1"],
      },
    ));

  it("fails a run if a hook of a listed test fails", () =>
    doTest({
      test: `describe("gate", () => {
        afterEach(() => { throw new Error("Not cleared up"); });
        ${FAILING}
      });`,
      list: LIST,
    }, { code: 1, last: "0 passed, 1 failed" }));

  it("fails a run if a hook of a suite fails", () =>
    doTest({
      test: `describe("gate", () => {
        beforeAll(() => { throw new Error("Not set up"); });
        ${FAILING}
      });`,
      list: LIST,
    }, { code: 1, last: "0 passed, 2 failed, 1 skipped" }));

  it("fails a run if a test file cannot be imported", () =>
    doTest(
      { test: 'import "./nothing.ts";', list: LIST },
      { code: 1, last: "0 passed, 2 failed" },
    ));

  it("fails a run if an error is thrown outside the tests", () =>
    doTest({
      test: `describe("gate", () => {
        it("closes", () => new Promise((resolve) => {
          setTimeout(() => { throw new Error("Late"); }, 1);
          setTimeout(resolve, 100);
        }));
        ${FAILING}
      });`,
      list: LIST,
    }, { code: 1, last: "1 passed, 1 failed" }));

  it("fails a run if the list cannot be read", () =>
    doTest(
      { test: `describe("gate", () => { ${PASSING} });` },
      { code: 1, last: "1 passed, 1 failed" },
    ));

  it("fails a run if the list is malformed", () =>
    doTest({
      test: `describe("gate", () => { ${PASSING}${FAILING} });`,
      list: LIST.replace("Test:", "test:"),
    }, { code: 1, last: "1 passed, 2 failed" }));

  it("fails a run without test files", async () =>
    expect((await runReporter("", LIST)).code).toBe(1));
});
