import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { FleetReplica } from "../fakes/fleet_replica.ts";
import { softwareOf } from "../fakes/fleet_text.ts";
import { FleetRole } from "../src/core/fleet/mod.ts";
import { FleetDeployment, sleep } from "./support/fleet_deployment.ts";
import { FLEET_NAMES, fleetPolicy } from "./support/fleet_policy.ts";
import { LoopbackNet } from "./support/loopback_net.ts";
import { type HeldStream, StreamCaller } from "./support/stream_caller.ts";

const { host, stream, engines, model } = FLEET_NAMES;
const KEY = "key-of-the-park";
const STREAMS = 24;
/** Time after which all instances know the targets, in milliseconds. */
const CERTAIN_MS = 1_000;
/** Time after which most streams have begun, in milliseconds. */
const BEGUN_MS = 250;
const REFUSED_STATUS = 503;

describe("streams after all entry instances were killed", () => {
  let fleet: FleetDeployment;
  let replicas: FleetReplica[] = [];

  beforeEach(async () => {
    fleet = new FleetDeployment({
      net: await LoopbackNet.claim(),
      controls: 4,
      ledgers: 3,
      entries: 3,
    });
    await fleet.startAll(fleetPolicy({ version: 1, keys: [KEY] }));
  }, 60_000);

  afterEach(async () => {
    for (const replica of replicas) replica.crash();
    await fleet.stop();
  });

  async function startTargets(...software: string[]): Promise<void> {
    replicas = software.map((version) => {
      const replica = fleet.createTarget({
        service: engines,
        models: [model],
        workMs: 40,
      });
      replica.software = version;
      return replica;
    });
    for (const replica of replicas) await replica.start();
    await sleep(CERTAIN_MS);
  }

  /** Kills all instances of a role at the same time and starts them again. */
  async function loseAll(role: FleetRole): Promise<void> {
    const machines = fleet.machinesWithRole(role);
    await Promise.all(machines.map((machine) => fleet.kill(machine)));
    for (const machine of machines) fleet.start(machine);
  }

  /** Reads streams during a fault; gets those with events before and after. */
  async function doTest(
    during: () => Promise<void>,
  ): Promise<HeldStream[]> {
    const caller = new StreamCaller({
      entries: () => fleet.entries,
      host,
      key: KEY,
      prefix: stream,
      model,
    });
    const streams = Array.from(
      { length: STREAMS },
      (_, i) => caller.read(`s${i}`, { timeoutMs: 6_000 }),
    );
    await sleep(BEGUN_MS);
    await during();
    const held = await Promise.all(streams);
    for (const { events } of held) {
      expect(softwareOf(events.join("\n")).length).toBeLessThanOrEqual(1);
    }
    return held;
  }

  /** Gets the streams of which events came before the fault, and not all. */
  function brokenOf(held: readonly HeldStream[]): HeldStream[] {
    return held.filter(({ statuses, first }) =>
      first?.endsWith("-0") && statuses.length > 1
    );
  }

  it("go on at their version while two of its targets serve", async () => {
    await startTargets("v1", "v1", "v2", "v2");
    const held = await doTest(() => loseAll(FleetRole.Entry));
    const broken = brokenOf(held);
    const resumed = broken.filter(({ isComplete }) => isComplete);
    expect(broken.length).toBeGreaterThan(0);
    expect(resumed.length).toBeGreaterThanOrEqual(broken.length / 2);
  }, 60_000);

  it(
    "are refused at once if the last target of their version ends",
    async () => {
      await startTargets("v1", "v2", "v2");
      const held = await doTest(async () => {
        replicas[0].crash();
        await loseAll(FleetRole.Entry);
      });
      const broken = brokenOf(held);
      const stranded = broken.filter(({ events }) =>
        softwareOf(events[0])[0] === "v1"
      );
      expect(stranded.length).toBeGreaterThan(0);
      for (const { statuses } of stranded) {
        expect(statuses).toContain(REFUSED_STATUS);
      }
      const others = broken.filter((one) => !stranded.includes(one));
      const resumed = others.filter(({ isComplete }) => isComplete);
      expect(resumed.length).toBeGreaterThanOrEqual(others.length / 2);
    },
    60_000,
  );
});
