import { describe, expect, it } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import { createPolicy } from "../../../tests/support/policy_document.ts";
import { createReport } from "../../../tests/support/target_report.ts";
import {
  type BatchSpec,
  BatchState,
  RunEstimator,
  TargetPace,
} from "../../core/batches/mod.ts";
import { PolicyView, RegionMap } from "../../core/policy/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { AdmissionGate } from "./admission_gate.ts";
import { RunTable } from "./run_table.ts";

const SERVICE = "s";

interface Setting {
  /** Homes of the open batch. */
  readonly homes?: readonly string[];
  readonly hasPolicy?: boolean;
  readonly maxTargets?: number;
  readonly hasRestarted?: boolean;
}

function createBatch(fields: Partial<BatchSpec>, prefix: string): BatchSpec {
  return createSpec({
    service: SERVICE,
    acceptedAt: Date.now(),
    objectiveMs: 10_000,
    giveUpMs: 10_000,
    items: Array.from(
      { length: 400 },
      (_, i) => createItem(`${prefix}${i}`, { expectedTokens: 100 }),
    ),
    ...fields,
  });
}

/**
 * Creates the gate of a leader with one target of 8 slots that completes a token
 * per millisecond, and with work for 35 s.
 */
function createGate(setting: Setting) {
  let now = 0;
  const registry = new TargetRegistry(new RegionMap({ a: "north", b: "east" }));
  const report = createReport({ id: "t1", service: SERVICE, slots: 8 });
  registry.merge(report, 0);
  const targetPace = new TargetPace();
  for (let i = 0; i < 40; i += 1) {
    now += 10;
    targetPace.onEventGap(report, { gapMs: 8 / 1.2, load: 0, runs: 1, now });
  }
  const estimator = new RunEstimator();
  for (let i = 0; i < 30; i += 1) {
    estimator.onCompleted(SERVICE, { expectedTokens: 100, events: 100 });
  }
  const state = new BatchState();
  const metrics = new Metrics({ tags: {} });
  const open = createBatch({
    id: "open",
    ...(setting.homes === undefined ? {} : { homes: setting.homes }),
  }, "o");
  const service = {
    name: SERVICE,
    healthPath: "/",
    maxConnections: 1,
    models: ["m"],
    scaling: {
      min: 1,
      max: setting.maxTargets ?? 1,
      bootMs: 1_000,
      spotPrice: undefined,
      prices: { a: 1 },
    },
  };
  const policy = new PolicyView(createPolicy({ services: [service] }));
  const gate = new AdmissionGate({
    state: () => state,
    registry,
    runs: new RunTable(),
    targetPace,
    estimator,
    policy: () => setting.hasPolicy === false ? undefined : policy,
    logger: new Logger({ instance: "test", level: "error" }),
    metrics,
    now: () => now,
  }).start();
  state.apply({ type: "accept", spec: open });
  gate.drain.onAccepted(open, now);
  for (let i = 0; i < 50; i += 1) {
    now += 110;
    const result = {
      id: `o${i}`,
      state: "completed",
      text: "",
      versions: [],
    } as const;
    state.apply({ type: "list", records: [{ batch: "open", result }] });
    gate.drain.onResult("open", result.id, { isCompleted: true, now });
  }
  if (setting.hasRestarted) gate.stop().start();
  return { gate, metrics };
}

describe(AdmissionGate.name, () => {
  function doTest(
    setting: Setting,
    reason: string,
    submitted = createBatch({ id: "new" }, "n"),
  ) {
    const { gate, metrics } = createGate(setting);
    const decision = gate.decide(submitted);
    expect(decision.reason).toBe(reason);
    return { gate, metrics, decision };
  }

  it("refuses a batch beyond the room, and counts it", () => {
    const submitted = createBatch({ id: "new" }, "n");
    const { gate, metrics, decision } = doTest({}, "aboveShare", submitted);
    expect(decision.isAdmitted).toBe(false);
    gate.onRefused(submitted, decision);
    gate.sample();
    expect(metrics.values()).toMatchObject({
      "batches.refused.aboveShare": 1,
      "batches.openTokens.s": 35_000,
    });
    expect(metrics.values()["batches.drainMs.s"]).toBeGreaterThan(10_000);
    // Sums over instances would count the queue of a former leader as well.
    gate.stop();
    expect(metrics.values()["batches.openTokens.s"]).toBe(0);
  });

  it("refuses nothing before it has a policy", () => {
    doTest({ hasPolicy: false }, "unknown");
  });

  it("refuses nothing after a restart, with the same open batches", () => {
    doTest({ hasRestarted: true }, "unknown");
  });

  it("counts targets that may be ordered", () => {
    doTest({ maxTargets: 8 }, "fits");
  });

  it("counts no work that runs nowhere near its targets", () => {
    doTest({ homes: ["east"] }, "fits");
  });

  it("counts items of earlier batches once", () => {
    // The same batch with other items is refused in the first test.
    const { items } = createBatch({}, "o");
    doTest({}, "fits", createBatch({ id: "new", items }, "o"));
  });
});
