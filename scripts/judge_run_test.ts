import { describe, expect, it } from "vitest";
import { judgeRun, type TestResult } from "./judge_run.ts";

const FILE = "tests/a_test.ts";
const LISTED = `${FILE} > a park > opens`;

describe(judgeRun.name, () => {
  function test(overrides: Partial<TestResult> = {}): TestResult {
    return {
      file: FILE,
      name: "a park > opens",
      state: "passed",
      hasFailedHook: false,
      ...overrides,
    };
  }

  const other = test({ name: "a park > closes" });

  function doTest(
    run: {
      tests: readonly TestResult[];
      otherFailures?: readonly string[];
      listedNames?: readonly string[];
    },
    expected: Partial<ReturnType<typeof judgeRun>>,
  ) {
    const {
      tests,
      otherFailures = [],
      listedNames = [],
    } = run;
    expect(judgeRun({ tests, otherFailures }, new Set(listedNames)))
      .toMatchObject(expected);
  }

  it("passes a run without failures", () =>
    doTest({ tests: [test(), other] }, {
      passed: 2,
      failed: 0,
      knownFailures: [],
    }));

  it("fails a run if a test fails that is not listed", () =>
    doTest(
      { tests: [test({ state: "failed" }), other] },
      { passed: 1, failed: 1, knownFailures: [] },
    ));

  it("ignores a listed test that fails", () =>
    doTest(
      { tests: [test({ state: "failed" }), other], listedNames: [LISTED] },
      { passed: 1, failed: 0, knownFailures: [LISTED] },
    ));

  it("fails a run if a listed and another test fail", () =>
    doTest({
      tests: [test({ state: "failed" }), { ...other, state: "failed" }],
      listedNames: [LISTED],
    }, { passed: 0, failed: 1, knownFailures: [LISTED] }));

  it("fails a run if a test of the same name fails in another file", () =>
    doTest({
      tests: [test(), test({ file: "tests/b_test.ts", state: "failed" })],
      listedNames: [LISTED],
    }, { passed: 1, failed: 1, knownFailures: [] }));

  it("fails a run if a hook of a listed test fails", () =>
    doTest({
      tests: [test({ state: "failed", hasFailedHook: true }), other],
      listedNames: [LISTED],
    }, { passed: 1, failed: 1, knownFailures: [] }));

  it("counts a listed test that passes as passed", () =>
    doTest(
      { tests: [test()], listedNames: [LISTED] },
      { passed: 1, failed: 0, knownFailures: [] },
    ));

  it("fails a run if there is a failure outside the tests", () =>
    doTest(
      { tests: [test()], otherFailures: ["file"] },
      { passed: 1, failed: 1, otherFailures: ["file"] },
    ));

  it("fails a run if a test does not end, even a listed one", () =>
    doTest(
      { tests: [test({ state: "pending" }), other], listedNames: [LISTED] },
      { passed: 1, failed: 1, knownFailures: [] },
    ));

  it("fails a run without tests", () => doTest({ tests: [] }, { failed: 1 }));

  it("fails a run in which every test is skipped", () =>
    doTest(
      { tests: [test({ state: "skipped" })] },
      { failed: 1, skipped: 1 },
    ));

  it("fails a run if a listed name does not exist in its file", () =>
    doTest(
      { tests: [other], listedNames: [LISTED] },
      { passed: 1, failed: 1, knownFailures: [] },
    ));

  it("fails a run if two tests have the same listed name", () =>
    doTest({ tests: [test(), test()], listedNames: [LISTED] }, { failed: 1 }));

  it("accepts a listed name of a file that did not run", () =>
    doTest({
      tests: [test()],
      listedNames: ["tests/b_test.ts > a park > opens"],
    }, { passed: 1, failed: 0 }));
});
