/** Vitest reporter that prints the closing line `N passed, N failed`. */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import type {
  ReportedHookContext,
  Reporter,
  SerializedError,
  TestModule,
  TestRunEndReason,
  Vitest,
} from "vitest/node";
import { judgeRun, type RunJudgement, type TestResult } from "./judge_run.ts";
import { type KnownFailures, parseKnownFailures } from "./known_failures.ts";

const KNOWN_FAILURES_FILE = "KNOWN-RED.txt";

/** Fails a run for any failure that `KNOWN-RED.txt` does not list. */
export default class ClosingLineReporter implements Reporter {
  #root = ".";
  /** Hooks that started and have not succeeded, by test or suite id. */
  readonly #unfinishedHooks = new Map<string, number>();

  /** Stores the root folder, which holds the list of known failures. */
  onInit(vitest: Vitest): void {
    this.#root = vitest.config.root;
  }

  /** Counts a hook that starts. */
  onHookStart({ entity }: ReportedHookContext): void {
    const unfinished = this.#unfinishedHooks.get(entity.id) ?? 0;
    this.#unfinishedHooks.set(entity.id, unfinished + 1);
  }

  /** Counts a hook that succeeded; the end of a failed one is not reported. */
  onHookEnd({ entity }: ReportedHookContext): void {
    const unfinished = this.#unfinishedHooks.get(entity.id) ?? 0;
    this.#unfinishedHooks.set(entity.id, unfinished - 1);
  }

  /** Judges the run, prints the closing line and sets the exit code. */
  onTestRunEnd(
    modules: readonly TestModule[],
    unhandledErrors: readonly SerializedError[],
    reason: TestRunEndReason,
  ): void {
    const otherFailures = modules.flatMap(moduleFailures);
    for (const { message } of unhandledErrors) {
      otherFailures.push(`outside tests: ${message}`);
    }
    if (reason === "interrupted") otherFailures.push("the run was interrupted");
    const listedTests = this.#readKnownFailures(otherFailures);
    const tests = modules.flatMap((module) => this.#testResults(module));
    const judgement = judgeRun({ tests, otherFailures }, listedTests);
    printSummary(judgement);
    const { failed, knownFailures } = judgement;
    if (failed > 0) process.exitCode = 1;
    // Vitest sets 1 for failed tests; any other code has another cause.
    else if (knownFailures.length > 0 && process.exitCode === 1) {
      process.exitCode = 0;
    }
  }

  #readKnownFailures(otherFailures: string[]): KnownFailures {
    try {
      return parseKnownFailures(
        readFileSync(join(this.#root, KNOWN_FAILURES_FILE), "utf8"),
      );
    } catch (err) {
      otherFailures.push(
        `${KNOWN_FAILURES_FILE} cannot be read: ${(err as Error).message}`,
      );
      return new Set();
    }
  }

  #testResults(module: TestModule): TestResult[] {
    return [...module.children.allTests()].map((test) => ({
      file: module.relativeModuleId,
      name: test.fullName,
      state: test.result().state,
      hasFailedHook: (this.#unfinishedHooks.get(test.id) ?? 0) > 0,
    }));
  }
}

/** Gets the failures of a test file other than those of its tests. */
function moduleFailures(module: TestModule): string[] {
  const file = module.relativeModuleId;
  const suites = [...module.children.allSuites()];
  const failures = [
    ...module.errors().map((err) => `${file}: ${err.message}`),
    ...suites.flatMap((suite) =>
      suite.errors().map((e) => `${file} > ${suite.fullName}: ${e.message}`)
    ),
  ];
  const isEnded = ["passed", "failed", "skipped"].includes(module.state());
  return isEnded ? failures : [...failures, `${file} did not end`];
}

function printSummary(judgement: RunJudgement): void {
  const { passed, failed, skipped, knownFailures, otherFailures } = judgement;
  if (otherFailures.length > 0) {
    printList("failures outside tests", otherFailures);
  }
  if (knownFailures.length > 0) printList("known failures", knownFailures);
  const skippedText = skipped > 0 ? `, ${skipped} skipped` : "";
  console.log(`${passed} passed, ${failed} failed${skippedText}`);
}

function printList(title: string, lines: readonly string[]): void {
  console.log([`${title}: ${lines.length}`, ...lines].join("\n  "));
}
