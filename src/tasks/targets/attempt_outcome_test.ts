import { describe, expect, it } from "vitest";
import { RefusalReason, Verdict } from "../../core/verdict/mod.ts";
import { toAttemptOutcome } from "./attempt_outcome.ts";
import type { ExchangeResult } from "./exchange.ts";

describe(toAttemptOutcome.name, () => {
  function doTest(
    result: ExchangeResult,
    hasResponded: boolean,
    expected: Record<string, unknown>,
  ) {
    expect(toAttemptOutcome(result, { hasResponded, tokens: 5 }))
      .toMatchObject(expected);
  }

  const failed = (reason: RefusalReason): ExchangeResult => ({
    type: "failed",
    reason,
    verdict: Verdict.NotRun,
    isBroken: false,
    retryAfterMs: 700,
  });

  it("counts the tokens of a complete response", () =>
    doTest({ type: "whole", head: { status: 200, headers: {} } }, true, {
      type: "completed",
      tokens: 5,
    }));

  it("is cancelled if the exchange was aborted", () =>
    doTest({ type: "aborted" }, false, { type: "cancelled" }));

  // Guards against a second run of a request whose caller has part of the first.
  it("has run if any part of the response went to the caller", () =>
    doTest(failed(RefusalReason.TargetFailed), true, {
      verdict: Verdict.Ran,
      hasResponded: true,
    }));

  // Guards against targets that count as faulty because they are full.
  it("is overload, not a fault, if the target refused the request", () =>
    doTest(failed(RefusalReason.TargetRefused), false, {
      verdict: Verdict.NotRun,
      isOverload: true,
      isTargetFault: false,
      retryAfterMs: 700,
    }));

  it("is a fault of the target otherwise", () =>
    doTest(failed(RefusalReason.TargetFailed), false, {
      verdict: Verdict.NotRun,
      isOverload: false,
      isTargetFault: true,
    }));
});
