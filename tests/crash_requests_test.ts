import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type { FleetReplica } from "../fakes/fleet_replica.ts";
import { FleetRole } from "../src/core/fleet/mod.ts";
import { FleetDeployment, sleep } from "./support/fleet_deployment.ts";
import { FLEET_NAMES, fleetPolicy } from "./support/fleet_policy.ts";
import { FleetTrainer } from "./support/fleet_trainer.ts";
import { LoopbackNet } from "./support/loopback_net.ts";

const { host, plain, rollout, apps } = FLEET_NAMES;
const KEY = "key-of-the-park";
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
  let fleet: FleetDeployment;
  let client: FleetTrainer;
  const targets: FleetReplica[] = [];
  /** Times at which a target ended under a request, in order. */
  const crashes: number[] = [];
  let isOver = false;

  function createTarget(): FleetReplica {
    const target = fleet.createTarget({ service: apps });
    target.crashesOn = (path) => path.includes("crash");
    target.onCrashed = () => {
      crashes.push(Date.now());
      setTimeout(() => isOver || target.start(), RESTART_MS);
    };
    return target;
  }

  beforeAll(async () => {
    fleet = new FleetDeployment({
      net: await LoopbackNet.claim(),
      controls: 3,
      ledgers: 3,
      entries: 3,
    });
    await fleet.startAll(fleetPolicy({ version: 1, keys: [KEY] }));
    for (let i = 0; i < TARGETS; i += 1) targets.push(createTarget());
    for (const target of targets) await target.start();
    client = new FleetTrainer({
      entries: fleet.entries,
      host,
      key: KEY,
      prefix: rollout,
    });
    await sleep(500);
  });

  afterAll(async () => {
    isOver = true;
    for (const target of targets) target.crash();
    await fleet.stop();
  });

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
