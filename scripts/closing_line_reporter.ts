/** Prints the closing line `N passed, N failed` after a test run. */
import type { Reporter, TestModule } from "vitest/node";

/** Counts the finished tests of a run and prints the closing line. */
export default class ClosingLineReporter implements Reporter {
  /** Prints the closing line. */
  onTestRunEnd(modules: ReadonlyArray<TestModule>): void {
    let passed = 0;
    let failed = 0;
    for (const testModule of modules) {
      for (const test of testModule.children.allTests()) {
        const state = test.result().state;
        if (state === "passed") passed += 1;
        if (state === "failed") failed += 1;
      }
    }
    console.log(`${passed} passed, ${failed} failed`);
  }
}
