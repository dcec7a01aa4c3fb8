import { describe, expect, it } from "vitest";
import { type FleetCommand, FleetState } from "../../core/fleet/mod.ts";
import { BatchState } from "../../core/batches/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { MalformedRequestError, type RequestHandler } from "../peers/mod.ts";
import { ControlRequests } from "./control_requests.ts";
import { FleetMethod } from "./fleet_method.ts";
import { PermitService } from "./permit_service.ts";

const DAY_MS = 86_400_000;

/** Creates the services of a control leader; gets its handlers and commands. */
function createLeader() {
  const handlers = new Map<string, RequestHandler>();
  const proposed: FleetCommand[] = [];
  const hub = {
    handle(method: string, handler: RequestHandler) {
      handlers.set(method, handler);
      return this as never;
    },
  };
  const node = {
    hub,
    logger: new Logger({ instance: "c1", level: "error" }),
    metrics: new Metrics({ tags: {} }),
    requestLeader: () => Promise.resolve(),
  };
  const requests = new ControlRequests({
    node,
    service: {
      state: new FleetState(),
      applied: 0,
      takesCommands: true,
      propose: (command) => {
        proposed.push(command);
        return Promise.resolve({ type: "done" });
      },
      confirmLeadership: () => Promise.resolve(),
    },
  });
  new PermitService({
    node,
    leadsTerm: () => 1,
    leaseEnd: () => Infinity,
    registry: new TargetRegistry(),
    policy: () => undefined,
    now: () => 0,
  });
  return { handlers, proposed, requests };
}

describe("odd requests of other instances", () => {
  /** Handles a request; gets whether it was refused. */
  async function doTest(method: string, params: unknown, isRefused: boolean) {
    const leader = createLeader();
    let error: unknown;
    try {
      await leader.handlers.get(method)?.(params, "e1");
    } catch (err) {
      error = err;
    }
    if (isRefused) expect(error).toBeInstanceOf(MalformedRequestError);
    else expect(error).toBeUndefined();
    return leader;
  }

  for (
    const command of [
      null,
      {},
      { type: "other" },
      { type: "retire" },
      { type: "retire", name: 7 },
      { type: "announceWeights", model: "m", version: 2 ** 53 - 1 },
      { type: "announceWeights", model: "m", version: 1e300 },
      { type: "replacePolicy", document: null, source: "" },
      { type: "evacuate", dataCentre: "a" },
      { type: "reportRuns", deaths: [null], completed: [] },
      { type: "sealUsage", window: 1, counts: { w: "1" } },
    ]
  ) {
    it(`do not put ${JSON.stringify(command)} into the log`, async () => {
      const { proposed } = await doTest(FleetMethod.Propose, command, true);
      expect(proposed).toEqual([]);
    });
  }

  it("put commands of this build into the log as they are", async () => {
    for (
      const command of [
        { type: "retire", name: "n" },
        { type: "announceWeights", model: "m", version: 2 },
        { type: "evacuate", dataCentre: "a", after: 0 },
        {
          type: "reportRuns",
          deaths: [{ fingerprint: "f", target: "t/1", at: 1.5 }],
          completed: ["g"],
        },
        { type: "sealUsage", window: 1, counts: { w: 1 } },
      ]
    ) {
      const { proposed } = await doTest(FleetMethod.Propose, command, false);
      expect(proposed).toEqual([command]);
    }
  });

  const confirmation = { revision: 0, instance: "e1", life: "l" };
  const usage = { 7: { w: 3 } };

  it("do not spoil the counts of usage", async () => {
    for (const odd of [null, { 7: null }, { 7: { w: 1e300 } }, { x: {} }]) {
      const { requests } = await doTest(
        FleetMethod.Confirm,
        { ...confirmation, usage: odd },
        true,
      );
      expect(requests.usageTotals.firstWindow).toBeUndefined();
    }
    const { requests } = await doTest(
      FleetMethod.Confirm,
      { ...confirmation, usage, suspicionVersion: undefined },
      false,
    );
    expect(requests.usageTotals.sumsOf(7)).toEqual({ w: 3 });
  });

  it("do not occupy the leader that grants permits", async () => {
    const target = { target: "t/1", perSecond: 2 };
    const request = { targets: [target], count: 1, maxWaitMs: 100 };
    await doTest(FleetMethod.Permits, request, false);
    for (
      const odd of [
        { ...request, targets: [null] },
        { ...request, targets: [{ target: "t/1", perSecond: -1 }] },
        { ...request, targets: [{ target: "t/1", perSecond: 1e300 }] },
        { ...request, count: 1e300, maxWaitMs: 5 },
        { ...request, maxWaitMs: 365 * DAY_MS },
      ]
    ) await doTest(FleetMethod.Permits, odd, true);
  });
});

describe("commands of another build in a log", () => {
  it("change nothing, and do not stop those that follow", () => {
    const state = new FleetState();
    expect(state.apply({ type: "other" } as never)).toEqual({
      type: "unchanged",
    });
    state.apply({ type: "retire", name: "n" });
    expect(state.retiring.has("n")).toBe(true);
    expect(new BatchState().apply({ type: "other" } as never))
      .toEqual({ isHeld: false });
  });
});
