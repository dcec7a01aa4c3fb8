import { describe, expect, it } from "vitest";
import { RetryBudget } from "./retry_budget.ts";
import { decideRetry, type RetryInput } from "./retry_policy.ts";

describe(decideRetry.name, () => {
  const base: RetryInput = {
    verdict: "notRun",
    idempotent: false,
    hasResponded: false,
    attempts: 1,
    maxAttempts: 3,
  };

  function doTest(change: Partial<RetryInput>, expected: string) {
    expect(decideRetry({ ...base, ...change })).toBe(expected);
  }

  it("retries a request that has not run", () => doTest({}, "retryNotRun"));
  it("never retries a non-idempotent request that may have run", () =>
    doTest({ verdict: "mayHaveRun" }, "stopMayHaveRun"));
  it("never retries a non-idempotent request that ran", () =>
    doTest({ verdict: "ran" }, "stopMayHaveRun"));
  it("retries an idempotent request that may have run", () =>
    doTest({ verdict: "mayHaveRun", idempotent: true }, "retryIdempotent"));
  it("stops once part of the response has been sent to the caller", () =>
    doTest({ idempotent: true, hasResponded: true }, "stopAnswered"));
  it("stops after the maximum number of attempts", () =>
    doTest({ attempts: 3 }, "stopAttempts"));
});

describe(RetryBudget.name, () => {
  it("earns retries from successes", () => {
    const budget = new RetryBudget({ share: 0.5, max: 1 });
    expect(budget.trySpend()).toBe(true);
    expect(budget.trySpend()).toBe(false);
    budget.onSuccess();
    expect(budget.trySpend()).toBe(false);
    budget.onSuccess();
    expect(budget.trySpend()).toBe(true);
  });
});
