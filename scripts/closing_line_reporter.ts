/** Judges a test run and prints the closing line `N passed, N failed`. */
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
import { judgeRun, type RanTest, type RunJudgement } from "./judge_run.ts";
import { type KnownFailures, parseKnownFailures } from "./known_failures.ts";

const LIST = "KNOWN-RED.txt";

/** Fails a run by whatever `KNOWN-RED.txt` does not list. */
export default class ClosingLineReporter implements Reporter {
  #root = ".";
  /** Hooks that have begun and not ended well, by what they belong to. */
  readonly #openHooks = new Map<string, number>();

  /** Learns where the list lies. */
  onInit(vitest: Vitest): void {
    this.#root = vitest.config.root;
  }

  /** Counts a hook that begins. */
  onHookStart({ entity }: ReportedHookContext): void {
    const open = this.#openHooks.get(entity.id) ?? 0;
    this.#openHooks.set(entity.id, open + 1);
  }

  /** Counts a hook that ended well; one that fails ends without a report. */
  onHookEnd({ entity }: ReportedHookContext): void {
    const open = this.#openHooks.get(entity.id) ?? 0;
    this.#openHooks.set(entity.id, open - 1);
  }

  /** Judges the run, prints the closing line and sets the exit code. */
  onTestRunEnd(
    modules: readonly TestModule[],
    errors: readonly SerializedError[],
    reason: TestRunEndReason,
  ): void {
    const faults = modules.flatMap(faultsOf);
    for (const { message } of errors) faults.push(`beside tests: ${message}`);
    if (reason === "interrupted") faults.push("the run was interrupted");
    const listed = this.#readList(faults);
    const tests = modules.flatMap((module) => this.#testsOf(module));
    const judgement = judgeRun({ tests, faults }, listed);
    print(judgement);
    const { failed, known } = judgement;
    if (failed > 0) process.exitCode = 1;
    // The runner has set 1 for the listed tests; another code is not theirs.
    else if (known.length > 0 && process.exitCode === 1) process.exitCode = 0;
  }

  #readList(faults: string[]): KnownFailures {
    try {
      return parseKnownFailures(readFileSync(join(this.#root, LIST), "utf8"));
    } catch (err) {
      faults.push(`${LIST} cannot be read: ${(err as Error).message}`);
      return new Set();
    }
  }

  #testsOf(module: TestModule): RanTest[] {
    return [...module.children.allTests()].map((test) => ({
      file: module.relativeModuleId,
      name: test.fullName,
      state: test.result().state,
      hasFailedHook: (this.#openHooks.get(test.id) ?? 0) > 0,
    }));
  }
}

/** Gets what failed in a file beside its tests. */
function faultsOf(module: TestModule): string[] {
  const file = module.relativeModuleId;
  const suites = [...module.children.allSuites()];
  const faults = [
    ...module.errors().map((err) => `${file}: ${err.message}`),
    ...suites.flatMap((suite) =>
      suite.errors().map((e) => `${file} > ${suite.fullName}: ${e.message}`)
    ),
  ];
  const isEnded = ["passed", "failed", "skipped"].includes(module.state());
  return isEnded ? faults : [...faults, `${file} did not end`];
}

function print(judgement: RunJudgement): void {
  const { passed, failed, skipped, known, faults } = judgement;
  if (faults.length > 0) printList("faults beside the tests", faults);
  if (known.length > 0) printList("known failures", known);
  const skippedPart = skipped > 0 ? `, ${skipped} skipped` : "";
  console.log(`${passed} passed, ${failed} failed${skippedPart}`);
}

function printList(title: string, lines: readonly string[]): void {
  console.log([`${title}: ${lines.length}`, ...lines].join("\n  "));
}
