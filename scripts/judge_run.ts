/** Decides whether a test run passes, given the list of known failures. */
import { fullTestName, type KnownFailures } from "./known_failures.ts";

/** Result of one test. */
export interface TestResult {
  /** Path of the file, relative to the root of the repository. */
  readonly file: string;
  /** Names of the `describe` blocks and of the test, joined by ` > `. */
  readonly name: string;
  readonly state: "passed" | "failed" | "skipped" | "pending";
  /** Whether a hook of the test failed, which fails even a listed test. */
  readonly hasFailedHook: boolean;
}

/** Results of a test run. */
export interface RunOutcome {
  readonly tests: readonly TestResult[];
  /** Failures outside tests: of files, suites, hooks and the run itself. */
  readonly otherFailures: readonly string[];
}

/** Counts and failures to print for a run. */
export interface RunJudgement {
  readonly passed: number;
  /** Number of failed tests that are not listed, plus all other failures. */
  readonly failed: number;
  readonly skipped: number;
  /** Full names of the listed tests that failed. */
  readonly knownFailures: readonly string[];
  /** Failures outside tests, tests that did not end, invalid list entries. */
  readonly otherFailures: readonly string[];
}

/**
 * Judges a run: only listed tests may fail, and at least one test must run.
 *
 * @example
 * ```ts
 * const { failed } = judgeRun({ tests, otherFailures: [] }, new Set());
 * ```
 */
export function judgeRun(
  outcome: RunOutcome,
  listedNames: KnownFailures,
): RunJudgement {
  const { tests } = outcome;
  const countOf = (state: TestResult["state"]) =>
    tests.filter((test) => test.state === state).length;
  const failures = tests.filter(({ state }) => state === "failed");
  const knownFailures = failures
    .filter((test) =>
      !test.hasFailedHook && listedNames.has(fullNameOfTest(test))
    )
    .map(fullNameOfTest);
  const otherFailures = [
    ...outcome.otherFailures,
    ...tests.filter(({ state }) => state === "pending")
      .map((test) => `did not end: ${fullNameOfTest(test)}`),
    ...invalidEntries(tests, listedNames),
  ];
  if (countOf("passed") + failures.length === 0) {
    otherFailures.push("no test ran");
  }
  return {
    passed: countOf("passed"),
    failed: failures.length - knownFailures.length + otherFailures.length,
    skipped: countOf("skipped"),
    knownFailures,
    otherFailures,
  };
}

/** Reports listed names that match no test, or several, of a file that ran. */
function invalidEntries(
  tests: readonly TestResult[],
  listedNames: KnownFailures,
): string[] {
  const files = new Set(tests.map(({ file }) => file));
  const names = tests.map(fullNameOfTest);
  return [...listedNames]
    .filter((name) =>
      [...files].some((f) => name.startsWith(fullTestName(f, "")))
    )
    .filter((name) => names.filter((other) => other === name).length !== 1)
    .map((name) => `KNOWN-RED.txt: not exactly one test is named ${name}`);
}

function fullNameOfTest({ file, name }: TestResult): string {
  return fullTestName(file, name);
}
