import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it, test } from "vitest";
import { FleetRole } from "../src/core/fleet/mod.ts";
import { EVENT_CATALOGUE } from "../src/logging/mod.ts";
import {
  FLEET_PORTS,
  FleetDeployment,
  type FleetMachine,
} from "./support/fleet_deployment.ts";
import { FLEET_KEY } from "./support/fleet_fixture.ts";
import { fleetPolicy } from "./support/fleet_policy.ts";
import { LoopbackNet } from "./support/loopback_net.ts";
import { ProcessGroup } from "./support/process_group.ts";

type PortUse = keyof typeof FLEET_PORTS;

/** Listeners of each role. */
const USES: Readonly<Record<FleetRole, readonly PortUse[]>> = {
  [FleetRole.Control]: ["peers", "control", "metrics"],
  [FleetRole.Ledger]: ["peers", "metrics"],
  [FleetRole.Entry]: ["peers", "callers", "readiness", "metrics"],
};
/** Uses whose address is tried once those before it are open. */
const LATER_USES: ReadonlySet<PortUse> = new Set(["control"]);
const POLICY = fleetPolicy({ version: 1, keys: [FLEET_KEY] });
const POLICY_TIMEOUT_MS = 20_000;
/** After the program has been loaded, and before it gives the file up. */
const REPLACED_AFTER_MS = 1_000;

test("an instance starts while its settings file is being replaced", async () => {
  const folder = mkdtempSync(join(tmpdir(), "start-"));
  const file = join(folder, "settings.json");
  const group = new ProcessGroup();
  const net = await LoopbackNet.claim();
  try {
    const whole = JSON.stringify({
      id: net.addressOf(2),
      name: "entry-1",
      dataCentre: "a",
      role: FleetRole.Entry,
      peerPort: FLEET_PORTS.peers,
      seeds: [],
      isFirstStart: false,
      tolerance: 1,
      listen: {},
      times: {
        revokeMs: 5_000,
        reportIntervalMs: 300,
        graceS: 8,
        usageWindowS: 2,
        usageDueS: 4,
        keepResultsS: 120,
        contactMs: 3_000,
      },
    });
    const half = whole.slice(0, whole.length / 2);
    for (const before of [undefined, "", half]) {
      rmSync(file, { force: true });
      if (before !== undefined) writeFileSync(file, before);
      const started = group.start("fleet", [], { NUTMEGREEL_SETTINGS: file });
      await setTimeout(REPLACED_AFTER_MS);
      writeFileSync(file, whole);
      const { number } = EVENT_CATALOGUE.fleetJoined;
      await started.waitForLine((line) => JSON.parse(line).event === number);
      started.child.kill("SIGTERM");
      expect(await started.waitForExit()).toBe(0);
    }
  } finally {
    await group.stop();
    net.release();
    rmSync(folder, { recursive: true });
  }
});

describe("instances whose ports are held as they start", () => {
  let fleet: FleetDeployment;
  let holders: Map<string, Server>;

  beforeEach(async () => {
    holders = new Map();
    fleet = new FleetDeployment({
      net: await LoopbackNet.claim(),
      controls: 3,
      ledgers: 3,
      entries: 2,
    });
  });

  afterEach(async () => {
    for (const holder of holders.values()) holder.close();
    await fleet.stop();
  });

  const firstOf = (role: FleetRole) => fleet.machinesWithRole(role)[0];

  async function hold({ id }: FleetMachine, use: PortUse): Promise<void> {
    const holder = createServer((socket) => socket.destroy());
    holder.listen(FLEET_PORTS[use], id);
    await once(holder, "listening");
    holders.set(`${id}/${use}`, holder);
  }

  function free({ id }: FleetMachine, use: PortUse): void {
    holders.get(`${id}/${use}`)?.close();
  }

  async function untilWaiting({ process }: FleetMachine, use: PortUse) {
    const { number } = EVENT_CATALOGUE.listenerWaits;
    await process?.waitForLine((line) => {
      const { event, use: waitingFor } = JSON.parse(line);
      return event === number && waitingFor === use;
    });
  }

  function expectAllRun(): void {
    const ended = fleet.machines.filter(({ process }) =>
      process?.child.exitCode !== null || process.child.signalCode !== null
    );
    expect(ended.map(({ name }) => name)).toEqual([]);
  }

  async function doTest(role: FleetRole, uses: readonly PortUse[]) {
    const machine = firstOf(role);
    for (const use of uses) await hold(machine, use);
    for (const each of fleet.machines) fleet.start(each, true);
    for (const use of uses) {
      if (!LATER_USES.has(use)) await untilWaiting(machine, use);
    }
    expectAllRun();
    for (const use of uses) {
      if (LATER_USES.has(use)) await untilWaiting(machine, use);
      if (use !== "metrics") free(machine, use);
    }
    await fleet.putPolicy(POLICY, POLICY_TIMEOUT_MS);
    await fleet.waitUntilReady();
    expectAllRun();
  }

  for (const [role, uses] of Object.entries(USES)) {
    it(`serve once the ports of ${role} are free, metrics or not`, () =>
      doTest(role as FleetRole, uses));
  }

  it("serve callers while an entry instance's port for others is held", async () => {
    await hold(firstOf(FleetRole.Entry), "peers");
    await fleet.startAll(POLICY);
    expectAllRun();
  });

  it("stop at once when they are asked to while they wait", async () => {
    for (const role of Object.values(FleetRole)) {
      const machine = firstOf(role);
      await hold(machine, "peers");
      fleet.start(machine, true);
      await untilWaiting(machine, "peers");
      fleet.signal(machine, "SIGTERM");
      expect(await machine.process?.waitForExit()).toBe(0);
    }
  });
});
