import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { FleetReplica } from "../fakes/fleet_replica.ts";
import { softwareOf } from "../fakes/fleet_text.ts";
import { FleetRole } from "../src/core/fleet/mod.ts";
import type { FleetDeployment } from "./support/fleet_deployment.ts";
import { FleetFixture } from "./support/fleet_fixture.ts";
import type { HeldStream } from "./support/stream_caller.ts";

const STREAMS = 24;
const ENTRIES = 3;
/** Streams of each entry instance that have begun when the fault begins. */
const MIN_BEGUN = 4;
/** Time in which callers read their streams, in milliseconds. */
const READ_MS = 8_000;
const OK_STATUS = 200;
const REFUSED_STATUS = 503;

describe("streams after all entry instances were killed", () => {
  let fixture: FleetFixture;
  let fleet: FleetDeployment;
  let replicas: FleetReplica[] = [];

  beforeEach(async () => {
    const counts = { controls: 4, ledgers: 3, entries: ENTRIES };
    fixture = await FleetFixture.start(counts);
    fleet = fixture.fleet;
  }, 60_000);

  afterEach(() => fixture.stop());

  async function startTargets(...software: string[]): Promise<void> {
    replicas = await fixture.startEngines(80, software);
  }

  /** Kills all instances of a role at the same time and starts them again. */
  async function loseAll(role: FleetRole): Promise<void> {
    const machines = fleet.machinesWithRole(role);
    await Promise.all(machines.map((machine) => fleet.kill(machine)));
    for (const machine of machines) fleet.start(machine);
  }

  /** Reads streams during a fault that begins as soon as they have begun. */
  async function doTest(
    during: () => Promise<void>,
  ): Promise<HeldStream[]> {
    const caller = fixture.createStreamCaller();
    // Callers use the entry instances in turn.
    const begunCounts = Array.from({ length: ENTRIES }, () => 0);
    let onBegun = () => {};
    const begun = new Promise<void>((resolve) => {
      onBegun = resolve;
    });
    const streams = Array.from(
      { length: STREAMS },
      (_, i) =>
        caller.read(`s${i}`, {
          timeoutMs: READ_MS,
          onEvent: (count) => {
            if (count === 1) begunCounts[i % ENTRIES] += 1;
            if (begunCounts.every((one) => one >= MIN_BEGUN)) onBegun();
          },
        }),
    );
    await begun;
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

  /** Expects at least half of the streams to have been read to their end. */
  function expectHalfComplete(streams: readonly HeldStream[]): void {
    const complete = streams.filter(({ isComplete }) => isComplete);
    expect(complete.length).toBeGreaterThanOrEqual(streams.length / 2);
  }

  it("go on at their version while two of its targets serve", async () => {
    await startTargets("v1", "v1", "v2", "v2");
    const broken = brokenOf(await doTest(() => loseAll(FleetRole.Entry)));
    expect(broken.length).toBeGreaterThan(0);
    expectHalfComplete(broken);
  }, 60_000);

  it("go on if one of the entry instances is killed", async () => {
    await startTargets("v1", "v1", "v2", "v2");
    const [killed] = fleet.machinesWithRole(FleetRole.Entry);
    const broken = brokenOf(await doTest(() => fleet.kill(killed)));
    expect(broken.length).toBeGreaterThan(0);
    expectHalfComplete(broken);
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
      const isStranded = ({ events }: HeldStream) =>
        softwareOf(events[0])[0] === "v1";
      const stranded = broken.filter(isStranded);
      expect(stranded.length).toBeGreaterThan(0);
      for (const { statuses, isComplete } of stranded) {
        expect(isComplete).toBe(false);
        expect(statuses).toContain(REFUSED_STATUS);
        // The first request was answered; no later one was.
        expect(statuses.lastIndexOf(OK_STATUS)).toBe(0);
      }
      expectHalfComplete(broken.filter((one) => !isStranded(one)));
    },
    60_000,
  );

  it("do not go on at the next process of their target, unheard", async () => {
    await startTargets("v1", "v1", "v2", "v2");
    const held = await doTest(async () => {
      replicas[0].crash();
      replicas[0].software = "v2";
      replicas[0].withholdsHeartbeats = true;
      await replicas[0].restart();
      await loseAll(FleetRole.Entry);
    });
    expect(brokenOf(held).length).toBeGreaterThan(0);
  }, 60_000);

  it(
    "are of one version if all control instances are killed, too",
    async () => {
      await startTargets("v1", "v1", "v2", "v2");
      const held = await doTest(async () => {
        await Promise.all([
          loseAll(FleetRole.Control),
          loseAll(FleetRole.Entry),
        ]);
      });
      expect(brokenOf(held).length).toBeGreaterThan(0);
    },
    60_000,
  );
});
