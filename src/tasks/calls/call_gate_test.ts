import { describe, expect, it } from "vitest";
import { CallGate } from "./call_gate.ts";

describe(CallGate.name, () => {
  async function doTest(hasControlLeader: boolean, retryAfterMs: number) {
    const gate = new CallGate({
      policy: () => undefined,
      awaitLease: () => Promise.resolve(false),
      hasControlLeader: () => hasControlLeader,
    });
    await expect(gate.admit({ host: "h", path: "/p/", key: "k" })).rejects
      .toMatchObject({
        reason: "controlUnavailable",
        verdict: "notRun",
        retryAfterMs,
      });
  }

  it("calls back soon if the policy only has to be sent", () =>
    doTest(true, 300));

  it("calls back after an election if there is no leader", () =>
    doTest(false, 1_000));
});
