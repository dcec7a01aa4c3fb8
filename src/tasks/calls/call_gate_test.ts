import { describe, expect, it } from "vitest";
import {
  createPolicy,
  createRoute,
} from "../../../tests/support/policy_document.ts";
import { PolicyView } from "../../core/policy/mod.ts";
import { CallGate } from "./call_gate.ts";

const KEYED_CALL = { host: "h", path: "/p/", key: "k" };
const POLICY = createPolicy({
  routes: [createRoute({ timeoutMs: 30_000 })],
  workspaces: [{ name: "w", keys: ["k"], priority: 1 }],
});

describe(CallGate.name, () => {
  async function doTest(hasControlLeader: boolean, retryAfterMs: number) {
    const gate = new CallGate({
      policy: () => undefined,
      awaitLease: () => Promise.resolve(false),
      hasControlLeader: () => hasControlLeader,
    });
    await expect(gate.admit(KEYED_CALL)).rejects
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

  async function doLeaseTest(timeoutMs: number | undefined, waitMs: number) {
    const waits: (number | undefined)[] = [];
    const gate = new CallGate({
      policy: () => new PolicyView(POLICY),
      awaitLease: (maxWaitMs) => {
        waits.push(maxWaitMs);
        return Promise.resolve(false);
      },
      hasControlLeader: () => true,
    });
    await expect(gate.admit({ ...KEYED_CALL, timeoutMs })).rejects
      .toMatchObject({ reason: "dataCentreFenced", verdict: "notRun" });
    expect(waits).toEqual([waitMs]);
  }

  // Guards against refusals of calls that have time left while the control
  // instances start again.
  it("waits for the lease for three quarters of a call's time, within limits", async () => {
    await doLeaseTest(1_600, 1_200);
    await doLeaseTest(400, 300);
    await doLeaseTest(60_000, 2_000);
  });
});
