/** Judges a run of the tests beside the known failures. */
import { fullNameOf, type KnownFailures } from "./known_failures.ts";

/** A test of a run. */
export interface RanTest {
  /** File, from the root of the repository. */
  readonly file: string;
  /** Names of the `describe` blocks and of the test, in one text. */
  readonly name: string;
  readonly state: "passed" | "failed" | "skipped" | "pending";
  /** Whether a hook of the test failed, which no list passes over. */
  readonly hasFailedHook: boolean;
}

/** What a run gave. */
export interface RunOutcome {
  readonly tests: readonly RanTest[];
  /** What failed beside tests: files, suites, hooks, the run itself. */
  readonly faults: readonly string[];
}

/** What is to be said of a run. */
export interface RunJudgement {
  readonly passed: number;
  /** Tests that failed and are not listed, and all other faults. */
  readonly failed: number;
  readonly skipped: number;
  /** Full names of the listed tests that failed. */
  readonly known: readonly string[];
  /** What failed beside tests. */
  readonly faults: readonly string[];
}

/**
 * Judges a run: only listed tests may fail, and something must have run.
 *
 * @example
 * ```ts
 * const { failed } = judgeRun({ tests, faults: [] }, new Set());
 * ```
 */
export function judgeRun(
  outcome: RunOutcome,
  listed: KnownFailures,
): RunJudgement {
  const { tests } = outcome;
  const count = (state: RanTest["state"]) =>
    tests.filter((test) => test.state === state).length;
  const failures = tests.filter(({ state }) => state === "failed");
  const known = failures
    .filter((test) => !test.hasFailedHook && listed.has(nameOf(test)))
    .map(nameOf);
  const faults = [
    ...outcome.faults,
    ...tests.filter(({ state }) => state === "pending")
      .map((test) => `did not end: ${nameOf(test)}`),
    ...misnamed(tests, listed),
  ];
  if (count("passed") + failures.length === 0) faults.push("no test ran");
  return {
    passed: count("passed"),
    failed: failures.length - known.length + faults.length,
    skipped: count("skipped"),
    known,
    faults,
  };
}

/** A listed name must mean one test of its file, where that file ran. */
function misnamed(
  tests: readonly RanTest[],
  listed: KnownFailures,
): string[] {
  const files = new Set(tests.map(({ file }) => file));
  const names = tests.map(nameOf);
  return [...listed]
    .filter((name) =>
      [...files].some((f) => name.startsWith(fullNameOf(f, "")))
    )
    .filter((name) => names.filter((other) => other === name).length !== 1)
    .map((name) => `KNOWN-RED.txt names not just one test: ${name}`);
}

function nameOf({ file, name }: RanTest): string {
  return fullNameOf(file, name);
}
