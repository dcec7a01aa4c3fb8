import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createPolicy } from "../../../tests/support/policy_document.ts";
import { createReport } from "../../../tests/support/target_report.ts";
import type { ServiceDemand } from "../../core/batches/mod.ts";
import { UsageTotals } from "../../core/calls/mod.ts";
import { type FleetCommand, FleetState } from "../../core/fleet/mod.ts";
import type { ScalingPolicy } from "../../core/policy/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { CapacityScaler } from "./capacity_scaler.ts";
import { OrderLease } from "./order_lease.ts";
import {
  type CapacityOrder,
  type EngineStatus,
  type LoadOrder,
  OrderOutcome,
  type OrderPort,
  type ReceiverPort,
} from "./order_port.ts";
import { UsageReporter } from "./usage_reporter.ts";
import { WeightsRollout } from "./weights_rollout.ts";

const logger = new Logger({ instance: "test", level: "error" });
const now = () => Date.now();

function lease(isLeading = true): OrderLease {
  return new OrderLease({
    holder: "control-1",
    term: () => isLeading ? 4 : undefined,
    leaseEnd: () => Date.now() + 500,
    now,
    leaderSince: () => 0,
    returnDelayMs: 0,
    hasPredecessor: false,
  });
}

function policy(
  scaling: ScalingPolicy | undefined = undefined,
  models: readonly string[] = ["m"],
) {
  return createPolicy({
    services: [{
      name: "s",
      healthPath: "/",
      maxConnections: 9,
      models,
      scaling,
    }],
  });
}

function registryOf(ids: readonly string[]): TargetRegistry {
  const registry = new TargetRegistry();
  ids.forEach((id, i) =>
    registry.merge(
      createReport({
        id,
        address: `127.0.0.1:${i + 1}`,
        dataCentre: id[0],
        slots: 10,
        versions: { m: 1 },
      }),
      Date.now(),
    )
  );
  return registry;
}

beforeEach(() => void vi.useFakeTimers({ now: 1_000_000 }));
afterEach(() => void vi.useRealTimers());

describe(OrderLease.name, () => {
  function doTest(
    sources: { term?: number; leaseMs: number; ledMs: number },
    expected: { fence: number; timeoutMs: number } | undefined,
  ) {
    const grant = new OrderLease({
      holder: "c",
      term: () => sources.term,
      leaseEnd: () => 10_000 + sources.leaseMs,
      now: () => 10_000,
      leaderSince: () => 10_000 - sources.ledMs,
      returnDelayMs: 0,
      hasPredecessor: false,
    }).get();
    const { token, timeoutMs } = grant ?? {};
    expect(grant && { fence: token?.fence, timeoutMs }).toEqual(expected);
  }

  it("grants an order that ends before the lease", () =>
    doTest({ term: 7, leaseMs: 400, ledMs: 5_000 }, {
      fence: 7,
      timeoutMs: 400,
    }));

  it("grants nothing near the end of the lease, or after it", () => {
    doTest({ term: 7, leaseMs: 100, ledMs: 5_000 }, undefined);
    doTest({ term: 7, leaseMs: -Infinity, ledMs: 5_000 }, undefined);
  });

  it("grants nothing until the predecessor's orders have ended", () =>
    doTest({ term: 7, leaseMs: 400, ledMs: 300 }, undefined));

  it("grants nothing unless this replica leads", () =>
    doTest({ leaseMs: 400, ledMs: 5_000 }, undefined));
});

describe(WeightsRollout.name, () => {
  class ScriptedEngines implements OrderPort {
    readonly loads: LoadOrder[] = [];
    readonly versions = new Map<string, number>();
    readonly leaving = new Set<string>();
    isBusy = false;

    status({ id }: { id: string }): Promise<EngineStatus> {
      const version = this.versions.get(id) ?? 1;
      return Promise.resolve({
        isBusy: this.isBusy,
        isLeaving: this.leaving.has(id),
        orders: this.loads.length,
        versions: { m: version },
      });
    }

    load(order: LoadOrder): Promise<OrderOutcome> {
      this.loads.push(order);
      this.versions.set(order.target.id, order.version);
      return Promise.resolve(OrderOutcome.Accepted);
    }
  }

  async function doTest(
    options: {
      targets: readonly string[];
      models?: readonly string[];
      isLeading?: boolean;
      /** Data centres that are evacuated at first. */
      evacuated?: readonly string[];
      /** Time after which they are readmitted; never by default. */
      readmittedMs?: number;
      forMs: number;
    },
    expected: readonly string[],
  ) {
    const models = options.models ?? ["m"];
    const registry = registryOf(options.targets);
    registry.setEvacuated(new Set(options.evacuated));
    const engines = new ScriptedEngines();
    const rollout = new WeightsRollout({
      lease: lease(options.isLeading),
      orders: engines,
      registry,
      logger,
      metrics: new Metrics({ tags: {} }),
      now,
      policy: () => policy(undefined, models),
      newestVersions: () => new Map(models.map((model) => [model, 2])),
      reportIntervalMs: 60_000,
      onLoading: () => {},
      onTargetLeaving: ({ id, incarnation }) => {
        registry.markLeaving(id, incarnation);
      },
      onLoaded: (loaded) => registry.recordVersion(loaded),
    });
    rollout.start();
    const { readmittedMs = options.forMs } = options;
    await vi.advanceTimersByTimeAsync(readmittedMs);
    registry.setEvacuated(new Set());
    await vi.advanceTimersByTimeAsync(options.forMs - readmittedMs);
    rollout.stop();
    expect(engines.loads.map((order) => order.target.id)).toEqual(expected);
    expect(engines.loads.every((order) => order.version === 2)).toBe(true);
  }

  it("loads the announced version on a few targets at a time", async () => {
    await doTest({ targets: ["a1", "a2", "a3", "a4"], forMs: 200 }, ["a1"]);
    await doTest({ targets: ["a1", "a2", "a3", "a4"], forMs: 5_000 }, [
      "a1",
      "a2",
      "a3",
      "a4",
    ]);
  });

  it("keeps some targets of each model running items", () =>
    doTest({
      targets: Array.from({ length: 9 }, (_, i) => `a${i}`),
      models: ["m", "n", "o"],
      forMs: 200,
    }, ["a1", "a2"]));

  // Guards against orders to targets to which nothing may be sent.
  it("orders nothing in an evacuated data centre", () =>
    doTest({
      targets: ["a1", "b1"],
      evacuated: ["a"],
      forMs: 5_000,
    }, ["b1"]));

  // Guards against targets that serve with old weights for good.
  it("orders the loads of a data centre that is readmitted", () =>
    doTest({
      targets: ["a1", "b1"],
      evacuated: ["a"],
      readmittedMs: 3_000,
      forMs: 6_000,
    }, ["b1", "a1"]));

  it("orders nothing unless this replica leads", () =>
    doTest({ targets: ["a1"], isLeading: false, forMs: 2_000 }, []));
});

describe(UsageReporter.name, () => {
  async function doTest(
    outcomes: readonly OrderOutcome[],
    expected: readonly { window: number; counts: Record<string, number> }[],
  ) {
    const state = new FleetState();
    const usage = new UsageTotals();
    const reports: { window: number; counts: Record<string, number> }[] = [];
    const receiver: Pick<ReceiverPort, "reportUsage"> = {
      reportUsage: ({ window, counts }) => {
        reports.push({ window, counts: { ...counts } });
        return Promise.resolve(
          outcomes[reports.length - 1] ?? OrderOutcome.Accepted,
        );
      },
    };
    const window = Math.floor(Date.now() / 2_000);
    usage.record("e1", { [window]: { w: 2 } });
    usage.record("e2", { [window]: { w: 1, v: 4 } });
    const reporter = new UsageReporter({
      lease: lease(),
      receiver: receiver as ReceiverPort,
      usage,
      state: () => state,
      propose: (command: FleetCommand) => Promise.resolve(state.apply(command)),
      logger,
      windowMs: 2_000,
      dueMs: 4_000,
      wallClock: () => Date.now(),
    });
    reporter.start();
    await vi.advanceTimersByTimeAsync(4_000);
    usage.record("e3", { [window]: { w: 100 } });
    await vi.advanceTimersByTimeAsync(2_000);
    reporter.stop();
    const relative = reports.map((report) => ({
      ...report,
      window: report.window - window,
    }));
    expect(relative).toEqual(expected);
  }

  const figures = { w: 3, v: 4 };

  it("reports the sums of each window once", () =>
    doTest([], [
      { window: 0, counts: figures },
      { window: 1, counts: {} },
    ]));

  it("repeats a report with the same counts if there was no answer", () =>
    doTest([OrderOutcome.Unanswered], [
      { window: 0, counts: figures },
      { window: 0, counts: figures },
      { window: 1, counts: {} },
    ]));
});

describe(CapacityScaler.name, () => {
  const scaling: ScalingPolicy = {
    min: 1,
    max: 4,
    bootMs: 1_000,
    spotPrice: undefined,
    prices: { a: 1, b: 1 },
  };

  async function doTest(
    demand: Omit<ServiceDemand, "service">,
    outcomeOf: (order: CapacityOrder) => OrderOutcome,
    expected: readonly string[],
    options: {
      readonly evacuated?: readonly string[];
      readonly prices?: Readonly<Record<string, number>>;
    } = {},
  ) {
    const { evacuated, prices = scaling.prices } = options;
    const orders: CapacityOrder[] = [];
    const receiver: Pick<ReceiverPort, "orderTargets"> = {
      orderTargets: (order) => {
        orders.push(order);
        return Promise.resolve(outcomeOf(order));
      },
    };
    const scaler = new CapacityScaler({
      lease: lease(),
      receiver: receiver as ReceiverPort,
      registry: registryOf(["a1", "b1"]).setEvacuated(new Set(evacuated)),
      logger,
      policy: () => policy({ ...scaling, prices }),
      now,
    });
    scaler.start();
    for (let second = 0; second < 12; second += 1) {
      scaler.observe({ service: "s", ...demand });
      await vi.advanceTimersByTimeAsync(1_000);
    }
    scaler.stop();
    const seen = orders.map(({ dataCentre, count }) => `${dataCentre}${count}`);
    expect([...new Set(seen)]).toEqual(expected);
  }

  it("orders nothing while slots are free", () =>
    doTest({ meanItems: 5, peaks: {} }, () => OrderOutcome.Accepted, []));

  it("orders more targets when half of the slots are in use", () =>
    doTest(
      { meanItems: 20, peaks: {} },
      () => OrderOutcome.Accepted,
      ["a2", "b2"],
    ));

  it("orders slots for the sum of all models' peaks", () =>
    doTest(
      { meanItems: 15, peaks: { m: 30, n: 30 } },
      () => OrderOutcome.Accepted,
      ["a3", "b3"],
    ));

  // Guards against capacity lost to an evacuation, and ordered there.
  it("replaces the targets of an evacuated data centre elsewhere", () =>
    doTest(
      { meanItems: 20, peaks: {} },
      () => OrderOutcome.Accepted,
      ["b2", "b4"],
      { evacuated: ["a"] },
    ));

  // Guards against many orders since no target is left that shows its slots.
  it("plans by the slots of evacuated targets if no others are left", () =>
    doTest(
      { meanItems: 5, peaks: {} },
      () => OrderOutcome.Accepted,
      ["c3"],
      { evacuated: ["a", "b"], prices: { a: 1, b: 1, c: 1 } },
    ));

  it("orders from another data centre if one refuses", () =>
    doTest(
      { meanItems: 20, peaks: {} },
      ({ dataCentre }) =>
        dataCentre === "a" ? OrderOutcome.Fenced : OrderOutcome.Accepted,
      ["a2", "b2", "b3"],
    ));
});
