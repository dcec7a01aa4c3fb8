import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { FleetRole } from "../src/core/fleet/mod.ts";
import { type FleetDeployment, sleep } from "./support/fleet_deployment.ts";
import { FleetFixture } from "./support/fleet_fixture.ts";
import { FLEET_NAMES } from "./support/fleet_policy.ts";
import type { FleetTrainer } from "./support/fleet_trainer.ts";

const { plain, apps } = FLEET_NAMES;
const TARGETS = 4;
const RESTART_MS = 400;
const REPEAT_MS = 60;
/** Ends of targets under one request after which it is known to crash them. */
const CRASHES_TO_KNOW = 3;
/** Time after which an instance that can reach the others knows it, too. */
const CONTACT_MS = 3_000;
/** Number of times that a known request may still reach targets. */
const MAX_SENDS_WHEN_KNOWN = 3;

describe("a request that ends each target that runs it", () => {
  let fixture: FleetFixture;
  let fleet: FleetDeployment;
  let client: FleetTrainer;
  /** Times at which a target ended under a request, in order. */
  const crashes: number[] = [];

  async function startTarget(): Promise<void> {
    const target = fixture.createTarget({ service: apps });
    target.crashesOn = (path) => path.includes("crash");
    target.onCrashed = () => {
      crashes.push(Date.now());
      setTimeout(() => fixture.isStopped || target.start(), RESTART_MS);
    };
    await target.start();
  }

  beforeAll(async () => {
    fixture = await FleetFixture.start({ controls: 3, ledgers: 3, entries: 3 });
    ({ fleet, client } = fixture);
    for (let i = 0; i < TARGETS; i += 1) await startTarget();
    await sleep(500);
  });

  afterAll(() => fixture.stop());

  /** Repeats a request under new ids, at each entry instance in turn. */
  async function repeat(path: string, forMs: number): Promise<void> {
    const endsAt = Date.now() + forMs;
    for (let i = 0; Date.now() < endsAt; i += 1) {
      await client.sendCall(`${plain}${path}`, { id: `${path}-${i}` });
      await sleep(REPEAT_MS);
    }
  }

  async function doTest(path: string, options: { between?: () => unknown }) {
    crashes.length = 0;
    await repeat(path, CONTACT_MS + 1_000);
    expect(crashes.length).toBeGreaterThanOrEqual(CRASHES_TO_KNOW);
    await options.between?.();
    await repeat(path, CONTACT_MS);
    const knownAt = crashes[CRASHES_TO_KNOW - 1] + CONTACT_MS;
    const late = crashes.filter((at) => at > knownAt);
    expect(late.length).toBeLessThanOrEqual(MAX_SENDS_WHEN_KNOWN);
    const sound = await client.sendCall(`${plain}sound`, { id: `${path}-ok` });
    expect(sound.status).toBe(200);
  }

  it("reaches targets no more once it is known at all entry instances", () =>
    doTest("crash-1", {}));

  it("stays known although all instances have restarted", () =>
    doTest("crash-2", {
      between: async () => {
        for (const machine of fleet.machines) await fleet.kill(machine);
        for (const machine of fleet.machines) fleet.start(machine);
        await fleet.waitUntilReady();
      },
    }));

  it("is known without the ledger", () =>
    doTest("crash-3", {
      between: async () => {
        const ledgers = fleet.machinesWithRole(FleetRole.Ledger);
        for (const machine of ledgers) await fleet.kill(machine);
      },
    }));
});
