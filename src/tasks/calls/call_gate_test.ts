import { describe, expect, it } from "vitest";
import {
  createPolicy,
  createRoute,
} from "../../../tests/support/policy_document.ts";
import {
  PolicyView,
  RouteKind,
  type WorkspacePolicy,
} from "../../core/policy/mod.ts";
import { RefusalReason } from "../../core/verdict/mod.ts";
import { WithheldReason } from "../send_guard.ts";
import { CallGate } from "./call_gate.ts";

const KEYED_CALL = { host: "h", path: "/p/", key: "k" };
const POLICY = createPolicy({
  routes: [createRoute({ timeoutMs: 30_000 })],
  workspaces: [{ name: "w", keys: ["k"], priority: 1 }],
});
/** Lacks the key. */
const OUTDATED = new PolicyView(
  createPolicy({
    routes: [createRoute({ timeoutMs: 30_000 })],
    workspaces: [{ name: "w", keys: ["old"], priority: 1 }],
  }),
);

describe(CallGate.name, () => {
  async function doTest(hasControlLeader: boolean, retryAfterMs: number) {
    const gate = new CallGate({
      policy: () => undefined,
      awaitLease: () => Promise.resolve(false),
      hasLease: () => false,
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

  /** Admits a call that only a newer policy than the known one serves. */
  async function admitUnknown(
    call: typeof KEYED_CALL,
    isRenewed: boolean,
  ): Promise<string> {
    let isKnown = false;
    const gate = new CallGate({
      policy: () => isKnown ? new PolicyView(POLICY) : OUTDATED,
      awaitLease: () => {
        isKnown = isRenewed;
        return Promise.resolve(isRenewed);
      },
      hasLease: () => false,
      hasControlLeader: () => true,
    });
    return await gate.admit(call).then(
      ({ route }) => route.name,
      (err) => err.reason,
    );
  }

  // Guards against callers that give up, as they are refused as unknown.
  it("refuses nobody as unknown by an outdated policy", async () => {
    expect(await admitUnknown(KEYED_CALL, false)).toBe("dataCentreFenced");
    expect(await admitUnknown(KEYED_CALL, true)).toBe(
      POLICY.routes[0].name,
    );
  });

  async function doLeaseTest(timeoutMs: number | undefined, waitMs: number) {
    const waits: (number | undefined)[] = [];
    const gate = new CallGate({
      policy: () => new PolicyView(POLICY),
      hasLease: () => true,
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

  async function doGuardTest(
    change: (state: { policy: PolicyView; hasLease: boolean }) => void,
    expected: WithheldReason | undefined,
  ) {
    const state = { policy: new PolicyView(POLICY), hasLease: true };
    const gate = new CallGate({
      policy: () => state.policy,
      awaitLease: () => Promise.resolve(true),
      hasLease: () => state.hasLease,
      hasControlLeader: () => true,
    });
    const { guard } = await gate.admit(KEYED_CALL);
    change(state);
    expect(guard?.()).toBe(expected);
  }

  function withWorkspaces(workspaces: readonly WorkspacePolicy[]): PolicyView {
    return new PolicyView({ ...POLICY, workspaces });
  }

  it("lets a call be sent whose key and lease are valid", () =>
    doGuardTest(() => {}, undefined));

  it("lets a call be sent whose key is not needed any more", () =>
    doGuardTest(
      (state) => void (state.policy = withWorkspaces([])),
      undefined,
    ));

  // Guards against calls that run after their key was withdrawn.
  it("bars an admitted call whose key another workspace holds", () =>
    doGuardTest(
      (state) =>
        void (state.policy = withWorkspaces([
          { name: "other", keys: ["k"], priority: 1 },
        ])),
      WithheldReason.KeyWithdrawn,
    ));

  it("bars an admitted call whose key is withdrawn", () =>
    doGuardTest(
      (state) =>
        void (state.policy = withWorkspaces([
          { name: "w", keys: ["new"], priority: 1 },
        ])),
      WithheldReason.KeyWithdrawn,
    ));

  it("bars an admitted call while the lease has expired", () =>
    doGuardTest(
      (state) => void (state.hasLease = false),
      WithheldReason.LeaseExpired,
    ));

  // Guards against refusals of calls that have time left while the control
  // instances start again.
  /** Identifies a caller whom the policy in force knows from a time on. */
  async function doIdentityTest(
    known: Parameters<typeof createPolicy>[0],
    isLeaseRenewed: boolean,
  ): Promise<string> {
    const state = { policy: new PolicyView(createPolicy(known)) };
    const gate = new CallGate({
      policy: () => state.policy,
      hasLease: () => false,
      awaitLease: () => {
        if (isLeaseRenewed) state.policy = new PolicyView(POLICY);
        return Promise.resolve(isLeaseRenewed);
      },
      hasControlLeader: () => true,
    });
    return (await gate.identify(KEYED_CALL.key)).workspace;
  }

  const OUTDATED_POLICIES = [
    ["key", { ...POLICY, workspaces: [{ name: "w", keys: [], priority: 1 }] }],
    ["host", { ...POLICY, routes: [] }],
  ] as const;

  // Guards against callers that give up since an instance is cut off.
  it.each(OUTDATED_POLICIES)(
    "does not refuse a %s as unknown without a lease",
    async (_name, known) => {
      await expect(doIdentityTest(known, false)).rejects
        .toMatchObject({ reason: "dataCentreFenced", verdict: "notRun" });
    },
  );

  it.each(OUTDATED_POLICIES)(
    "knows a %s that was added before the lease was renewed",
    async (_name, known) => {
      expect(await doIdentityTest(known, true)).toBe("w");
    },
  );

  async function doAnonymousTest(
    { kind, key, hasLease }: {
      readonly kind: RouteKind;
      readonly key: string | undefined;
      readonly hasLease: boolean;
    },
    expected: string | undefined,
  ) {
    const route = createRoute({ kind, isAnonymous: true });
    const document = { ...POLICY, routes: [route] };
    const gate = new CallGate({
      policy: () => new PolicyView(document),
      hasLease: () => hasLease,
      awaitLease: () => Promise.resolve(hasLease),
      hasControlLeader: () => true,
    });
    const end = await gate.admit({ ...KEYED_CALL, key }).then(
      ({ workspace }) => workspace?.name,
      (err) => err.reason,
    );
    expect(end).toBe(expected);
  }

  it("names the holder of a key that an anonymous route does not need", async () => {
    const { Idempotent: kind } = RouteKind;
    await doAnonymousTest({ kind, key: "k", hasLease: true }, "w");
    await doAnonymousTest({ kind, key: "other", hasLease: true }, undefined);
    await doAnonymousTest({ kind, key: undefined, hasLease: true }, undefined);
    await doAnonymousTest({ kind, key: "k", hasLease: false }, undefined);
  });

  it("lets no batch be accepted for nobody while its key cannot be checked", async () => {
    const { Rollout: kind } = RouteKind;
    const { DataCentreFenced } = RefusalReason;
    await doAnonymousTest(
      { kind, key: "k", hasLease: false },
      DataCentreFenced,
    );
    await doAnonymousTest({ kind, key: undefined, hasLease: false }, undefined);
    await doAnonymousTest({ kind, key: "k", hasLease: true }, "w");
  });

  it("waits for the lease for three quarters of a call's time, within limits", async () => {
    await doLeaseTest(1_600, 1_200);
    await doLeaseTest(400, 300);
    await doLeaseTest(60_000, 2_000);
  });
});
