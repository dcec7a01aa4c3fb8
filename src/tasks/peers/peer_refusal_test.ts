import { describe, expect, it } from "vitest";
import { RefusalReason, Verdict } from "../../core/verdict/mod.ts";
import { decodeRefusal } from "./peer_refusal.ts";

describe(decodeRefusal.name, () => {
  function doTest(
    refusal: unknown,
    expected: Readonly<Record<string, unknown>>,
  ) {
    expect(decodeRefusal(refusal)).toMatchObject(expected);
  }

  const valid = {
    reason: RefusalReason.QueueFull,
    verdict: Verdict.NotRun,
    message: "full",
    retryAfterMs: 200,
  };

  it("keeps a refusal as it is", () => doTest(valid, valid));

  // Guards against a process that ends as a response has no status.
  it("has a status for the reason of another build", () =>
    doTest({ ...valid, reason: "later" }, {
      reason: RefusalReason.ControlUnavailable,
      status: 503,
      verdict: Verdict.NotRun,
      message: "full",
      retryAfterMs: 200,
    }));

  it("may have run if the verdict is that of another build", () =>
    doTest({ ...valid, verdict: "later" }, { verdict: Verdict.MayHaveRun }));

  it("takes a malformed refusal for a lost reply", () => {
    for (const refusal of [null, 5, "later", {}, []]) {
      doTest(refusal, {
        reason: RefusalReason.ControlUnavailable,
        verdict: Verdict.MayHaveRun,
      });
    }
  });

  it("leaves out fields of another type", () =>
    doTest({ ...valid, message: {}, retryAfterMs: "soon" }, {
      message: "Request refused: queueFull",
      retryAfterMs: undefined,
    }));
});
