import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createPolicy } from "../../../tests/support/policy_document.ts";
import { createReport } from "../../../tests/support/target_report.ts";
import { ElapsedClock } from "../../core/clock/mod.ts";
import type { EvacuationUpdate, FleetNotice } from "../../core/fleet/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { FleetFollower } from "./fleet_follower.ts";
import type { ConfirmPolicyReply } from "./fleet_method.ts";
import type { FleetNode } from "./fleet_node.ts";

const LEASE_MS = 2_000;
const CONFIRM_INTERVAL_MS = 500;

const REPLY: ConfirmPolicyReply = {
  revision: 1,
  document: undefined,
  suspicions: undefined,
  evacuations: undefined,
};

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Creates the node of a follower, with a control leader that replies. */
function createNode(requestLeader: () => Promise<ConfirmPolicyReply>) {
  return {
    settings: { id: "10.0.0.1", times: { policyLeaseMs: LEASE_MS } },
    logger: new Logger({ instance: "test", level: "error" }),
    metrics: new Metrics({ tags: {} }),
    hub: { announce: () => {} },
    notify: () => {},
    onNotice: (_notice: FleetNotice, _from: string) => {},
    requestLeader,
  };
}

describe(FleetFollower.name, () => {
  /** Gets the targets offered at first and after each step. */
  async function doTest(
    options: {
      readonly needsLease: boolean;
      /** Notices that arrive before the first reply. */
      readonly notices?: readonly FleetNotice[];
      /** Evacuations in the replies of the control leader; it is silent before. */
      readonly replies: readonly (EvacuationUpdate | undefined | "none")[];
    },
    expected: readonly (readonly string[])[],
  ) {
    const registry = new TargetRegistry();
    const replies = [...options.replies];
    const node = createNode(() => {
      const evacuations = replies.shift();
      if (evacuations === "none") return Promise.reject(new Error("Silent"));
      return Promise.resolve({ ...REPLY, evacuations });
    });
    const follower = new FleetFollower({
      node: node as unknown as FleetNode,
      registry,
      clock: new ElapsedClock(),
      needsLease: options.needsLease,
      usage: () => ({}),
      onTargetsChanged: () => {},
    });
    const reports = ["a", "b"].map((dataCentre) =>
      createReport({ id: dataCentre, address: dataCentre, dataCentre })
    );
    const mark = undefined;
    node.onNotice({ type: "policy", document: createPolicy() }, "c");
    node.onNotice({ type: "targets", mark, isWhole: true, reports }, "c");
    for (const notice of options.notices ?? []) node.onNotice(notice, "c");
    const offered = () => registry.readyOf("s").map(({ report }) => report.id);
    const seen = [offered()];
    follower.start();
    for (const _ of options.replies) {
      await vi.advanceTimersByTimeAsync(1);
      seen.push(offered());
      await vi.advanceTimersByTimeAsync(CONFIRM_INTERVAL_MS - 1);
    }
    follower.stop();
    expect(seen).toEqual(expected);
  }

  // Guards against an instance that was not told before control was lost.
  it("offers no target that control says has left", () => {
    const departed = [{ target: "a", incarnation: 1 }];
    const mark = undefined;
    return doTest({
      needsLease: true,
      notices: [{
        type: "targets",
        mark,
        isWhole: true,
        reports: [],
        departed,
      }],
      replies: [{ version: 0, dataCentres: [] }],
    }, [[], ["b"]]);
  });

  // Guards against requests of an instance that has a policy and targets, but
  // has not heard of an order given while it was down.
  it("offers no targets until the control leader has replied", async () => {
    const evacuated = { version: 2, dataCentres: ["a"] };
    for (const needsLease of [true, false]) {
      await doTest(
        { needsLease, replies: ["none", evacuated] },
        [[], [], ["b"]],
      );
    }
  });

  // Guards against ledger instances that miss an order for good.
  it("learns of an order by a confirmation if its notice is lost", () =>
    doTest({
      needsLease: false,
      replies: [undefined, { version: 1, dataCentres: ["b"] }],
    }, [[], ["a", "b"], ["a"]]));

  // Guards against a notice of a control instance that lags behind the leader.
  it("prefers the newer state of the leader to that of a notice", () =>
    doTest({
      needsLease: true,
      notices: [{ type: "evacuations", version: 1, dataCentres: ["a"] }],
      replies: [{ version: 2, dataCentres: [] }],
    }, [["b"], ["a", "b"]]));

  /** Gets whether the lease is renewed within a wait while control restarts. */
  async function doLeaseTest(
    { backAtMs, waitMs, lostMs = 100 }: {
      readonly backAtMs: number;
      readonly waitMs: number;
      /** Time for which the lease has been lost before the wait. */
      readonly lostMs?: number;
    },
  ): Promise<boolean | undefined> {
    let isBack = true;
    const node = createNode(() =>
      isBack ? Promise.resolve(REPLY) : Promise.reject(new Error("No leader"))
    );
    const follower = new FleetFollower({
      node: node as unknown as FleetNode,
      registry: new TargetRegistry(),
      clock: new ElapsedClock(),
      needsLease: true,
      usage: () => ({}),
      onTargetsChanged: () => {},
    });
    node.onNotice({ type: "policy", document: createPolicy() }, "c");
    follower.start();
    await vi.advanceTimersByTimeAsync(0);
    isBack = false;
    await vi.advanceTimersByTimeAsync(LEASE_MS + lostMs);
    expect(follower.hasLease).toBe(false);
    let isRenewed: boolean | undefined;
    follower.awaitLease(waitMs).then((value) => isRenewed = value);
    await vi.advanceTimersByTimeAsync(backAtMs);
    isBack = true;
    await vi.advanceTimersByTimeAsync(waitMs - backAtMs);
    follower.stop();
    return isRenewed;
  }

  // Guards against calls that are refused, with time left, just after all
  // control instances have started again.
  it("renews the lease as soon as a leader answers waiting requests", async () => {
    expect(await doLeaseTest({ backAtMs: 250, waitMs: 400 })).toBe(true);
    expect(await doLeaseTest({ backAtMs: 1_900, waitMs: 2_000 })).toBe(true);
  });

  // Guards against callers that wait at an instance that stays cut off.
  it("keeps no request waiting for a lease that was lost long ago", async () => {
    const wait = { backAtMs: 1_900, waitMs: 2_000, lostMs: 5_000 };
    expect(await doLeaseTest(wait)).toBe(false);
  });
});
