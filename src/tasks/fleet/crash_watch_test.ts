import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createReport } from "../../../tests/support/target_report.ts";
import {
  type FleetCommand,
  FleetState,
  type SuspicionUpdate,
} from "../../core/fleet/mod.ts";
import { TargetRegistry, TargetState } from "../../core/registry/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import type { TrialReply, TrialRequest } from "../../core/quarantine/mod.ts";
import { CallTrial } from "../calls/call_trial.ts";
import { CrashWatch } from "./crash_watch.ts";
import { FleetMethod } from "./fleet_method.ts";

const RETRY_MS = 400;
const DENIED: TrialReply = { isGranted: false, retryAfterMs: 1_000 };

describe(CrashWatch.name, () => {
  let state: FleetState;
  let isLeaderReachable: boolean;
  let running: Set<string>;
  let trialReplies: TrialReply[];
  let trialRequests: TrialRequest[];
  /** Time until it is known whether a target refuses connections. */
  let checkMs: number;

  beforeEach(() => {
    vi.useFakeTimers();
    state = new FleetState();
    isLeaderReachable = true;
    running = new Set();
    trialReplies = [];
    trialRequests = [];
    checkMs = 0;
  });

  afterEach(() => void vi.useRealTimers());

  function createWatch(ids = ["t1", "t2", "t3", "t4"]): CrashWatch {
    const registry = new TargetRegistry();
    for (const id of ids) registry.merge(report(id), 0);
    registry.merge(report("leaving", TargetState.Draining), 0);
    return new CrashWatch({
      registry,
      node: {
        logger: new Logger({ instance: "test", level: "error" }),
        metrics: new Metrics({ tags: {} }),
        requestLeader: (_role, method, { params }) => {
          if (!isLeaderReachable) {
            return Promise.reject(new Error("No leader answered"));
          }
          if (method === FleetMethod.TakeTrial) {
            trialRequests.push(params as TrialRequest);
            return Promise.resolve(trialReplies.shift() ?? DENIED);
          }
          return Promise.resolve(state.apply(params as FleetCommand));
        },
      },
      targets: {
        isRefusing: async (address) => {
          if (checkMs > 0) await new Promise((r) => setTimeout(r, checkMs));
          return !running.has(address);
        },
      },
    });
  }

  function report(id: string, targetState: TargetState = TargetState.Ready) {
    return createReport({ id, address: `${id}:1`, state: targetState });
  }

  async function breakRuns(watch: CrashWatch, ids: readonly string[]) {
    for (const id of ids) await watch.onBroken("f", report(id));
    await vi.advanceTimersByTimeAsync(RETRY_MS);
  }

  const suspicions = (): SuspicionUpdate => state.suspicions;

  it("adds up the deaths that several instances saw", async () => {
    const watches = [createWatch(), createWatch(), createWatch()];
    const ids = ["t1", "t2", "t3"];
    for (const [i, id] of ids.entries()) await breakRuns(watches[i], [id]);
    expect(watches.map((watch) => watch.isProven("f"))).toEqual([
      false,
      false,
      false,
    ]);
    for (const watch of watches) watch.onConfirmed(suspicions());
    expect(watches.every((watch) => watch.isProven("f"))).toBe(true);
  });

  it("counts neither a target that still runs nor one that leaves", async () => {
    running.add("t1:1");
    const watch = createWatch();
    await breakRuns(watch, ["t1", "leaving"]);
    expect(watch.isSuspect("f")).toBe(false);
    expect(suspicions().changes).toEqual([]);
  });

  it("refuses by its own evidence while no leader is reachable, and reports it later", async () => {
    isLeaderReachable = false;
    const watch = createWatch();
    await breakRuns(watch, ["t1", "t2", "t3"]);
    expect(watch.isProven("f")).toBe(true);
    watch.onConfirmed({ version: 7, changes: [] });
    expect(watch.isProven("f")).toBe(true);
    isLeaderReachable = true;
    await vi.advanceTimersByTimeAsync(RETRY_MS);
    expect(suspicions().changes).toMatchObject([{ suspicion: "proven" }]);
  });

  it("clears a sound request once any instance has completed it", async () => {
    const watches = [createWatch(), createWatch()];
    await breakRuns(watches[0], ["t1", "t2"]);
    watches[1].onConfirmed(suspicions());
    watches[1].onCompleted("f");
    await vi.advanceTimersByTimeAsync(RETRY_MS);
    expect(suspicions().changes).toEqual([]);
    watches[0].onPushed(state.suspicionsOf(["f"]));
    expect(watches[0].isSuspect("f")).toBe(false);
  });

  it("grants the trial run to one of the instances", async () => {
    const watches = [createWatch(), createWatch()];
    await breakRuns(watches[0], ["t1", "t2", "t3"]);
    for (const watch of watches) watch.onConfirmed(suspicions());
    expect(await watches[0].takeTrial("f")).toBe(false);
    await vi.advanceTimersByTimeAsync(watches[0].retryAfterMs("f"));
    const granted = [];
    for (const watch of watches) granted.push(await watch.takeTrial("f"));
    expect(granted).toEqual([true, false]);
    watches[0].onPushed(state.suspicionsOf(["f"]));
    expect(watches[0].retryAfterMs("f")).toBeGreaterThan(60_000);
  });

  it("asks for a trial again, as the call may only have run beside another", async () => {
    trialReplies = [DENIED, DENIED, { isGranted: true, retryAfterMs: 0 }];
    const reply = createWatch()
      .awaitTrial("f", { service: "s", maxWaitMs: 600 });
    await vi.advanceTimersByTimeAsync(RETRY_MS);
    expect((await reply).isGranted).toBe(true);
  });

  it("grants no trial while the control leader does not answer", async () => {
    isLeaderReachable = false;
    const reply = createWatch()
      .awaitTrial("f", { service: "s", maxWaitMs: 600 });
    await vi.advanceTimersByTimeAsync(RETRY_MS);
    expect(await reply).toEqual({ isGranted: false, retryAfterMs: 1_000 });
  });

  /**
   * Breaks a call at `t1`, of which it takes 800 ms to learn whether it ended,
   * and gets whether the call may be sent on, and when that is decided.
   */
  async function doOpenTest(ids: readonly string[]) {
    checkMs = 800;
    const trial = new CallTrial({
      crashes: createWatch([...ids]),
      logger: new Logger({ instance: "test", level: "error" }),
      computeFingerprint: () => "f",
      service: () => "s",
      hasRun: false,
    });
    const startedAt = performance.now();
    const decided = trial.reportBroken(report("t1"))
      .then(() => trial.begin(3_000))
      .then((mayBeSent) => ({
        mayBeSent,
        isKnown: performance.now() - startedAt >= checkMs,
      }));
    await vi.advanceTimersByTimeAsync(3_000);
    return await decided;
  }

  // Guards against a request that ends the last target of a service, because
  // it is not known in time that it has ended the other one.
  it("keeps a call from the last target until the end of another is known", async () => {
    expect((await doOpenTest(["t1", "t2"])).mayBeSent).toBe(false);
    expect(trialRequests[0]).toMatchObject({ deaths: 1, targets: ["t1/1"] });
  });

  // Guards against refusals after connections that broke at running targets.
  it("sends a call to the last target once another is known to run", async () => {
    running.add("t1:1");
    expect(await doOpenTest(["t1", "t2"]))
      .toEqual({ mayBeSent: true, isKnown: true });
  });

  it("waits for no answer while a service has targets to spare", async () => {
    expect(await doOpenTest(["t1", "t2", "t3"]))
      .toEqual({ mayBeSent: true, isKnown: false });
  });
});
