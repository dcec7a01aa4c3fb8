import { describe, expect, it } from "vitest";
import { RefusalError } from "./refusal_error.ts";
import { RefusalReason } from "./refusal_reason.ts";
import { Verdict } from "./verdict.ts";

describe(RefusalError.name, () => {
  function doTest(
    verdicts: { earlier: Verdict; later: Verdict },
    expected: Verdict,
  ) {
    const refusal = new RefusalError(RefusalReason.NoTarget, verdicts.later, {
      message: "No target",
      retryAfterMs: 300,
    }).afterAttempt(verdicts.earlier);
    expect(refusal).toMatchObject({
      reason: RefusalReason.NoTarget,
      verdict: expected,
      message: "No target",
      retryAfterMs: 300,
    });
  }

  it("says no more that a request was not run once it may have been", () =>
    doTest(
      { earlier: Verdict.MayHaveRun, later: Verdict.NotRun },
      "mayHaveRun",
    ));

  it("keeps the verdict of a later attempt that is more certain", () =>
    doTest({ earlier: Verdict.MayHaveRun, later: Verdict.Ran }, "ran"));

  it("stays not run if no attempt may have run", () =>
    doTest({ earlier: Verdict.NotRun, later: Verdict.NotRun }, "notRun"));
});
