import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: ["src/**/*_test.ts", "platform/**/*_test.ts", "soak/**/*_test.ts", "tests/**/*_test.ts", "bench/**/*_test.ts", "scripts/**/*_test.ts"],
    globalSetup: ["scripts/test_setup.ts"],
    reporters: ["default", "./scripts/closing_line_reporter.ts"],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    fileParallelism: true,
    maxWorkers: 4,
  },
});
