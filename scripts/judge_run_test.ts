import { describe, expect, it } from "vitest";
import { judgeRun, type RanTest } from "./judge_run.ts";

const FILE = "tests/a_test.ts";
const LISTED = `${FILE} > a park > opens`;

describe(judgeRun.name, () => {
  function test(part: Partial<RanTest> = {}): RanTest {
    return {
      file: FILE,
      name: "a park > opens",
      state: "passed",
      hasFailedHook: false,
      ...part,
    };
  }

  const other = test({ name: "a park > closes" });

  function doTest(
    run: {
      tests: readonly RanTest[];
      faults?: readonly string[];
      listed?: readonly string[];
    },
    expected: Partial<ReturnType<typeof judgeRun>>,
  ) {
    const { tests, faults = [], listed = [] } = run;
    expect(judgeRun({ tests, faults }, new Set(listed)))
      .toMatchObject(expected);
  }

  it("passes a run without failures", () =>
    doTest({ tests: [test(), other] }, { passed: 2, failed: 0, known: [] }));

  it("fails a run by a test that is not listed", () =>
    doTest(
      { tests: [test({ state: "failed" }), other] },
      { passed: 1, failed: 1, known: [] },
    ));

  it("passes over a listed test that fails", () =>
    doTest(
      { tests: [test({ state: "failed" }), other], listed: [LISTED] },
      { passed: 1, failed: 0, known: [LISTED] },
    ));

  it("fails a run by another test beside a listed one", () =>
    doTest({
      tests: [test({ state: "failed" }), { ...other, state: "failed" }],
      listed: [LISTED],
    }, { passed: 0, failed: 1, known: [LISTED] }));

  it("fails a run by a test of the same name in another file", () =>
    doTest({
      tests: [test(), test({ file: "tests/b_test.ts", state: "failed" })],
      listed: [LISTED],
    }, { passed: 1, failed: 1, known: [] }));

  it("fails a run by a listed test whose hook failed", () =>
    doTest({
      tests: [test({ state: "failed", hasFailedHook: true }), other],
      listed: [LISTED],
    }, { passed: 1, failed: 1, known: [] }));

  it("counts a listed test that passes among the passed ones", () =>
    doTest(
      { tests: [test()], listed: [LISTED] },
      { passed: 1, failed: 0, known: [] },
    ));

  it("fails a run by a fault beside the tests", () =>
    doTest(
      { tests: [test()], faults: ["file"] },
      { passed: 1, failed: 1, faults: ["file"] },
    ));

  it("fails a run by a test that did not end, listed or not", () =>
    doTest(
      { tests: [test({ state: "pending" }), other], listed: [LISTED] },
      { passed: 1, failed: 1, known: [] },
    ));

  it("fails a run without tests", () => doTest({ tests: [] }, { failed: 1 }));

  it("fails a run that skipped every test", () =>
    doTest(
      { tests: [test({ state: "skipped" })] },
      { failed: 1, skipped: 1 },
    ));

  it("fails a run by a listed name that its file does not hold", () =>
    doTest(
      { tests: [other], listed: [LISTED] },
      { passed: 1, failed: 1, known: [] },
    ));

  it("fails a run by a listed name that two tests have", () =>
    doTest({ tests: [test(), test()], listed: [LISTED] }, { failed: 1 }));

  it("takes a listed name of a file that did not run", () =>
    doTest({
      tests: [test()],
      listed: ["tests/b_test.ts > a park > opens"],
    }, { passed: 1, failed: 0 }));
});
