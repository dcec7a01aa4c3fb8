import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import type { FleetReplica } from "../fakes/fleet_replica.ts";
import { FleetRole } from "../src/core/fleet/mod.ts";
import { sleep } from "./support/fleet_deployment.ts";
import { FLEET_KEY, FleetFixture } from "./support/fleet_fixture.ts";
import { FLEET_NAMES, fleetPolicy } from "./support/fleet_policy.ts";

const { engines, apps, model } = FLEET_NAMES;
const COLD_PER_S = 8.1;
const COLD_MS = 4_000;
/** Requests that a cold target tolerates in any second. */
const TOLERATED = COLD_PER_S * 1.5 + 5;
/** Requests that it gets at least, while there are more than it tolerates. */
const LEAST_USE = 0.4 * COLD_PER_S * COLD_MS / 1_000;
const CALL_INTERVAL_MS = 12;
const CALL_WORK_MS = 60;
/** Time per event; runs are so short that items start more often than allowed. */
const EVENT_WORK_MS = 4;

describe("a cold target beside a warm one", () => {
  let fixture: FleetFixture;

  beforeAll(async () => {
    const slowStart = { coldS: COLD_MS / 1_000, coldPerS: COLD_PER_S };
    fixture = await FleetFixture.start({
      controls: 3,
      ledgers: 3,
      entries: 3,
      policy: fleetPolicy({ version: 1, keys: [FLEET_KEY], slowStart }),
    });
  });

  afterAll(() => fixture.stop());

  beforeEach(() => fixture.retireTargets());

  /** Starts a target that is warm, or cold for a time. */
  async function start(service: string, coldMs: number): Promise<FleetReplica> {
    const target = fixture.createTarget({
      service,
      models: service === engines ? [model] : [],
      slots: service === engines ? 8 : 64,
      workMs: service === engines ? EVENT_WORK_MS : CALL_WORK_MS,
    });
    target.coldMs = coldMs;
    await target.start();
    return target;
  }

  const press = (prefix: string, durationMs: number) =>
    fixture.sendCalls(prefix, { durationMs, intervalMs: CALL_INTERVAL_MS });

  function expectWithinBound(target: FleetReplica) {
    expect(target.mostColdPerSecond).toBeLessThanOrEqual(TOLERATED);
  }

  it("gets few calls until it is warm, which the warm one serves", async () => {
    await start(apps, 0);
    await sleep(500);
    const pressed = press("cold", COLD_MS + 2_500);
    await sleep(500);
    const cold = await start(apps, COLD_MS);
    const responses = await pressed;
    expect(responses.filter(({ status }) => status !== 200)).toEqual([]);
    expectWithinBound(cold);
    const warmCalls = cold.arrivals.length - cold.coldArrivals.length;
    expect(warmCalls).toBeGreaterThan(TOLERATED);
  });

  it("is used where no other is warm, and the rest is refused in time", async () => {
    const cold = await start(apps, COLD_MS);
    await sleep(300);
    const responses = await press("alone", COLD_MS);
    expectWithinBound(cold);
    expect(cold.coldArrivals.length).toBeGreaterThan(LEAST_USE);
    const refused = responses.filter(({ status }) => status !== 200);
    expect(refused.length).toBeGreaterThan(0);
    for (const { status, retryAfterS } of refused) {
      expect(status).toBe(503);
      expect(retryAfterS).toBeGreaterThan(0);
    }
  });

  it("gets few items of a batch, which all complete", async () => {
    await start(engines, 0);
    const cold = await start(engines, COLD_MS);
    await sleep(300);
    const items = Array.from({ length: 400 }, (_, i) => `g${i % 10}-${i}`);
    const plan = { id: "cold-items", model, minVersion: 0, items };
    await fixture.client.submit(plan, 10_000);
    const results = await fixture.client.readAll(plan, 40_000);
    expect(results.every(({ state }) => state === "completed")).toBe(true);
    expectWithinBound(cold);
    expect(cold.coldArrivals.length).toBeGreaterThan(0);
  });

  it("gets few calls while the control leader changes", async () => {
    await start(apps, 0);
    const cold = await start(apps, COLD_MS);
    await sleep(300);
    const pressed = press("leaderless", COLD_MS);
    const { fleet } = fixture;
    const controls = fleet.machinesWithRole(FleetRole.Control);
    await sleep(500);
    for (const machine of controls) {
      await fleet.kill(machine);
      fleet.start(machine);
      await sleep(600);
    }
    await pressed;
    expectWithinBound(cold);
  });
});
