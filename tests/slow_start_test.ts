import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import type { FleetReplica } from "../fakes/fleet_replica.ts";
import { FleetRole } from "../src/core/fleet/mod.ts";
import { FleetDeployment, sleep } from "./support/fleet_deployment.ts";
import { FLEET_NAMES, fleetPolicy } from "./support/fleet_policy.ts";
import { FleetTrainer } from "./support/fleet_trainer.ts";
import { LoopbackNet } from "./support/loopback_net.ts";

const { host, plain, rollout, engines, apps, model } = FLEET_NAMES;
const KEY = "key-of-the-park";
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
  let fleet: FleetDeployment;
  let client: FleetTrainer;
  const targets: FleetReplica[] = [];

  beforeAll(async () => {
    fleet = new FleetDeployment({
      net: await LoopbackNet.claim(),
      controls: 3,
      ledgers: 3,
      entries: 3,
    });
    const slowStart = { coldS: COLD_MS / 1_000, coldPerS: COLD_PER_S };
    await fleet.startAll(fleetPolicy({ version: 1, keys: [KEY], slowStart }));
    client = new FleetTrainer({
      entries: fleet.entries,
      host,
      key: KEY,
      prefix: rollout,
    });
  });

  afterAll(async () => {
    for (const target of targets) target.crash();
    await fleet.stop();
  });

  beforeEach(async () => {
    for (const target of targets.splice(0)) {
      await target.drain();
      target.crash();
    }
  });

  /** Starts a target that is warm, or cold for a time. */
  async function start(service: string, coldMs: number): Promise<FleetReplica> {
    const target = fleet.createTarget({
      service,
      models: service === engines ? [model] : [],
      slots: service === engines ? 8 : 64,
      workMs: service === engines ? EVENT_WORK_MS : CALL_WORK_MS,
    });
    target.coldMs = coldMs;
    targets.push(target);
    await target.start();
    return target;
  }

  /** Sends calls at an even rate; returns their responses. */
  async function press(prefix: string, durationMs: number) {
    const pending: ReturnType<FleetTrainer["sendCall"]>[] = [];
    const endsAt = Date.now() + durationMs;
    for (let i = 0; Date.now() < endsAt; i += 1) {
      const id = `${prefix}-${i}`;
      pending.push(client.sendCall(`${plain}${id}`, { id }));
      await sleep(CALL_INTERVAL_MS);
    }
    return await Promise.all(pending);
  }

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
    await client.submit(plan, 10_000);
    const results = await client.readAll(plan, 40_000);
    expect(results.every(({ state }) => state === "completed")).toBe(true);
    expectWithinBound(cold);
    expect(cold.coldArrivals.length).toBeGreaterThan(0);
  });

  it("gets few calls while the control leader changes", async () => {
    await start(apps, 0);
    const cold = await start(apps, COLD_MS);
    await sleep(300);
    const pressed = press("leaderless", COLD_MS);
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
