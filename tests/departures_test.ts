import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { request } from "undici";
import type { FleetReplica } from "../fakes/fleet_replica.ts";
import { FleetRole } from "../src/core/fleet/mod.ts";
import { type FleetMachine, sleep } from "./support/fleet_deployment.ts";
import { FleetFixture } from "./support/fleet_fixture.ts";
import { FLEET_NAMES } from "./support/fleet_policy.ts";

const { apps } = FLEET_NAMES;
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 200;
/** Time in which all instances know the targets. */
const KNOWN_MS = 2_000;
const CALLS = { durationMs: 1_500, intervalMs: 25 };
const OK_STATUS = 200;

describe("targets that have left", () => {
  let fixture: FleetFixture;
  let leaving: FleetReplica;

  beforeEach(async () => {
    fixture = await FleetFixture.start({ controls: 3, ledgers: 1, entries: 2 });
    leaving = fixture.createTarget({ service: apps });
    for (const target of [leaving, fixture.createTarget({ service: apps })]) {
      await target.start();
    }
    await sleep(KNOWN_MS);
  });

  afterEach(() => fixture.stop());

  /** Sends to control instances in turn until one accepts it. */
  async function tell(path: string, body: string): Promise<void> {
    const endsAt = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < endsAt) {
      for (const address of fixture.fleet.controlAddresses) {
        const status = await post(`http://${address}${path}`, body);
        if (status === OK_STATUS) return;
      }
      await sleep(POLL_MS);
    }
    throw new Error(`${path} was not accepted`);
  }

  async function restart(machines: readonly FleetMachine[]): Promise<void> {
    await Promise.all(machines.map((machine) => fixture.fleet.kill(machine)));
    for (const machine of machines) fixture.fleet.start(machine);
  }

  async function countRuns(name: string): Promise<number> {
    const before = leaving.runs.length;
    const responses = await fixture.sendCalls(name, CALLS);
    expect(responses.filter(({ status }) => status === OK_STATUS).length)
      .toBeGreaterThan(responses.length / 2);
    return leaving.runs.length - before;
  }

  async function doTest(
    leave: () => Promise<unknown>,
    lost: () => readonly FleetMachine[],
  ): Promise<void> {
    expect(await countRuns("before")).toBeGreaterThan(0);
    const late = leaving.createHeartbeat("ready");
    leaving.withholdsHeartbeats = true;
    await leave();
    await restart(lost());
    await tell(`/-/Instances.Heartbeat/${leaving.id}`, JSON.stringify(late));
    await fixture.fleet.waitUntilReady();
    await sleep(KNOWN_MS);
    expect(await countRuns("after")).toBe(0);
  }

  function deregister(): Promise<void> {
    const body = JSON.stringify({ born: leaving.bornAt });
    return tell(`/-/Instances.Deregister/${leaving.id}`, body);
  }

  function drain(): Promise<void> {
    const body = JSON.stringify(leaving.createHeartbeat("draining"));
    return tell(`/-/Instances.Heartbeat/${leaving.id}`, body);
  }

  const ALL = () => fixture.fleet.machines;
  const CONTROLS = () => fixture.fleet.machinesWithRole(FleetRole.Control);

  // Guards against targets that are used again after they have left.
  it("get nothing after the loss of all processes and a late report", () =>
    doTest(deregister, ALL));

  it("get nothing if they have drained", () => doTest(drain, ALL));

  it("get nothing from instances that outlive all control instances", () =>
    doTest(deregister, CONTROLS));
});

async function post(url: string, body: string): Promise<number> {
  try {
    const signal = AbortSignal.timeout(1_000);
    const response = await request(url, { method: "POST", body, signal });
    await response.body.dump();
    return response.statusCode;
  } catch {
    // The instance does not listen yet.
    return 0;
  }
}
