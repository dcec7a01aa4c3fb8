import { defineConfig } from "vitest/config";

/** Tests that measure processes, and so run alone. */
const LONE_TESTS = "tests/crowds/**/*_test.ts";

export default defineConfig({
  test: {
    globalSetup: ["scripts/test_setup.ts"],
    reporters: ["default", "./scripts/closing_line_reporter.ts"],
    projects: [
      {
        extends: true,
        test: {
          name: "parallel",
          include: [
            "src/**/*_test.ts",
            "platform/**/*_test.ts",
            "soak/**/*_test.ts",
            "tests/**/*_test.ts",
            "bench/**/*_test.ts",
            "scripts/**/*_test.ts",
          ],
          exclude: [LONE_TESTS],
          testTimeout: 60_000,
          hookTimeout: 60_000,
          maxWorkers: 4,
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: "alone",
          include: [LONE_TESTS],
          testTimeout: 60_000,
          hookTimeout: 60_000,
          fileParallelism: false,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
