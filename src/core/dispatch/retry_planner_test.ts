import { describe, expect, it } from "vitest";
import { RefusalReason, Verdict } from "../verdict/mod.ts";
import { ActiveRequest } from "./active_request.ts";
import { type FailedOutcome, RetryPlanner } from "./retry_planner.ts";
import { type WorkItem, WorkKind } from "./work_item.ts";

/** More failures than any budget allows without a success. */
const MANY_FAILURES = 200;
const NOW = 5_000;

describe(RetryPlanner.name, () => {
  /** Plans after a failure that did not run, repeated a number of times. */
  function doTest(
    options: {
      readonly kind?: WorkKind;
      readonly failures?: number;
      readonly outcome?: Partial<FailedOutcome>;
    },
    expected: Record<string, unknown>,
  ) {
    const planner = new RetryPlanner(() => 0.5);
    const outcome: FailedOutcome = {
      type: "failed",
      reason: RefusalReason.TargetFailed,
      verdict: Verdict.NotRun,
      hasResponded: false,
      isOverload: false,
      isTargetFault: true,
      ...options.outcome,
    };
    const item = {
      kind: options.kind ?? WorkKind.Call,
      workspace: "w",
      idempotent: true,
      maxAttempts: 3,
    } as WorkItem;
    const plans = Array.from({ length: options.failures ?? 1 }, () => {
      const request = new ActiveRequest(item, 0).addVerdict(outcome.verdict);
      request.attempts = 1;
      request.failedTargets.add("t1");
      return planner.plan(request, outcome, NOW);
    });
    expect(plans.at(-1)).toMatchObject(expected);
  }

  it("waits at least as long as the target asked for", () =>
    doTest({ outcome: { retryAfterMs: 9_000 } }, {
      type: "retry",
      notBefore: NOW + 9_000,
    }));

  // Guards against retries that add to the load of a service that fails.
  it("refuses a call once the budgets are spent", () =>
    doTest({ failures: MANY_FAILURES }, {
      type: "refuse",
      reason: RefusalReason.RetryBudgetSpent,
    }));

  // Guards against a step that loses a sample because others have failed.
  it("retries a sample although the budgets are spent", () =>
    doTest({ kind: WorkKind.Sample, failures: MANY_FAILURES }, {
      type: "retry",
    }));

  // Guards against a second run of a request that its caller has seen.
  it("refuses a request whose response has begun", () =>
    doTest({ outcome: { hasResponded: true } }, {
      type: "refuse",
      reason: RefusalReason.TargetFailed,
    }));
});
