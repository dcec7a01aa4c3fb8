import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import type { FleetReplica } from "../fakes/fleet_replica.ts";
import { sleep } from "./support/fleet_deployment.ts";
import { FleetFixture } from "./support/fleet_fixture.ts";
import { FLEET_NAMES } from "./support/fleet_policy.ts";
import type { FleetTrainer } from "./support/fleet_trainer.ts";

const { plain, engines, apps, model } = FLEET_NAMES;
/** Time from which a limit is to be kept, after it was first named. */
const CONTACT_MS = 3_000;
const WINDOW_MS = 4_000;
const PLAY_MS = CONTACT_MS + WINDOW_MS + 1_500;
const CALL_INTERVAL_MS = 15;
const NOT_RUN_STATUS = 503;

/** Gets the requests that a window may have under a limit per second. */
function allowedOf(perSecond: number): number {
  return 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
}

describe("a target that names the requests a second that it takes", () => {
  let fixture: FleetFixture;
  let client: FleetTrainer;
  const services: FleetReplica[] = [];
  const llms: FleetReplica[] = [];

  beforeAll(async () => {
    fixture = await FleetFixture.start({ controls: 3, ledgers: 3, entries: 3 });
    client = fixture.client;
    const workMs = 60;
    for (let i = 0; i < 3; i += 1) {
      services.push(fixture.createTarget({ service: apps, slots: 64, workMs }));
    }
    for (let i = 0; i < 2; i += 1) {
      const models = [model];
      llms.push(fixture.createTarget({ service: engines, models, workMs }));
    }
    for (const target of [...services, ...llms]) await target.start();
    await sleep(500);
  });

  afterAll(() => fixture.stop());

  beforeEach(() => {
    for (const target of [...services, ...llms]) {
      target.maxPerSecond = undefined;
      target.arrivals.length = 0;
    }
  });

  const press = (prefix: string) =>
    fixture.sendCalls(prefix, {
      durationMs: PLAY_MS,
      intervalMs: CALL_INTERVAL_MS,
    });

  /** Gets the arrivals at a target from the time at which its limit is kept. */
  function lateArrivalsOf({ arrivals }: FleetReplica): number[] {
    return arrivals.filter((at) => at >= arrivals[0] + CONTACT_MS);
  }

  function expectWithinLimit(target: FleetReplica, perSecond: number) {
    const late = lateArrivalsOf(target);
    const counts = late.map((start) =>
      late.filter((at) => at >= start && at < start + WINDOW_MS).length
    );
    expect(Math.max(0, ...counts)).toBeLessThanOrEqual(allowedOf(perSecond));
  }

  async function doTest(limited: readonly FleetReplica[], perSecond: number) {
    for (const target of limited) target.maxPerSecond = perSecond;
    const responses = await press(`limit-${limited.length}`);
    for (const target of limited) expectWithinLimit(target, perSecond);
    return responses;
  }

  it("gets no more calls from all entry instances, which others serve", async () => {
    const responses = await doTest(services.slice(0, 2), 1);
    expect(responses.filter(({ status }) => status !== 200)).toEqual([]);
  });

  it("gets no more calls where all targets name one; the rest are refused", async () => {
    const responses = await doTest(services, 1);
    const refused = responses.filter(({ status }) => status !== 200);
    expect(refused.length).toBeGreaterThan(0);
    for (const { status, retryAfterS } of refused) {
      expect(status).toBe(NOT_RUN_STATUS);
      expect(retryAfterS).toBeGreaterThan(0);
    }
    const servedPerTarget = PLAY_MS / 1_000 / 2;
    for (const target of services) {
      expect(lateArrivalsOf(target).length).toBeGreaterThan(0);
    }
    expect(responses.length - refused.length)
      .toBeGreaterThanOrEqual(Math.floor(services.length * servedPerTarget));
  });

  it("gets no more items of batches, which complete all the same", async () => {
    const perSecond = 3;
    for (const target of llms) target.maxPerSecond = perSecond;
    const items = Array.from({ length: 130 }, (_, i) => `g${i % 10}-${i}`);
    const plan = { id: "limited", model, minVersion: 0, items };
    await client.submit(plan, 10_000);
    const results = await client.readAll(plan, 40_000);
    expect(results.every(({ state }) => state === "completed")).toBe(true);
    for (const target of llms) {
      expectWithinLimit(target, perSecond);
      expect(lateArrivalsOf(target).length).toBeGreaterThan(0);
    }
  });

  it("gets calls at any rate again once it names none", async () => {
    for (const target of services) target.maxPerSecond = 1;
    await client.sendCall(`${plain}first`, { id: "first" });
    for (const target of services) target.maxPerSecond = undefined;
    const responses = await press("again");
    const settled = responses.slice(responses.length / 2);
    expect(settled.filter(({ status }) => status !== 200)).toEqual([]);
  });
});
