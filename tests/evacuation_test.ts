/** Evacuation of data centres, over real processes. */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { request } from "undici";
import type { FleetReplica } from "../fakes/fleet_replica.ts";
import { outputOf } from "../fakes/fleet_text.ts";
import { FleetRole } from "../src/core/fleet/mod.ts";
import {
  type FleetDeployment,
  type FleetMachine,
  sleep,
} from "./support/fleet_deployment.ts";
import { FLEET_KEY, FleetFixture } from "./support/fleet_fixture.ts";
import { FLEET_NAMES, fleetPolicy } from "./support/fleet_policy.ts";
import type { FleetTrainer } from "./support/fleet_trainer.ts";

const { plain, engines, apps, model } = FLEET_NAMES;
const TIMEOUT_MS = 30_000;
/** Time from the acknowledgement in which all instances know of an order. */
const SPREAD_MS = 1_000;
/** Time for which arrivals are watched. */
const WATCHED_MS = 1_500;
const CALL_INTERVAL_MS = 10;
const EVACUATED = "a";
const OTHER = "b";

describe("evacuation of a data centre", () => {
  let fixture: FleetFixture;
  let fleet: FleetDeployment;
  let trainer: FleetTrainer;
  const targets = new Map<string, FleetReplica[]>();
  let version = 1;
  let batchCount = 0;

  beforeAll(async () => {
    fixture = await FleetFixture.start({ controls: 3, ledgers: 3, entries: 2 });
    ({ fleet, client: trainer } = fixture);
    for (const zone of [EVACUATED, OTHER]) {
      const replicas = [
        fixture.createTarget({ service: engines, models: [model], zone }),
        fixture.createTarget({ service: apps, zone, slots: 64 }),
      ];
      for (const replica of replicas) await replica.start();
      targets.set(zone, replicas);
    }
    await sleep(700);
  }, 60_000);

  afterAll(() => fixture.stop());

  const order = (type: "Begin" | "Finish", zone: string) =>
    fleet.sendToControl("POST", `/-/Evacuate.${type}/${zone}`, {
      timeoutMs: TIMEOUT_MS,
    });

  /** Gets the number of requests that reached the targets of a data centre. */
  const countArrivals = (zone: string) =>
    (targets.get(zone) ?? []).flatMap(({ arrivals }) => arrivals).length;

  /** Sends calls, and items of a batch, until the work is done. */
  async function runUnderLoad(work: () => Promise<void>): Promise<void> {
    batchCount += 1;
    const batch = `load${batchCount}`;
    const items = Array.from({ length: 200 }, (_, i) => `${batch}x${i}-0`);
    const plan = { id: batch, model, minVersion: 0, items };
    const submitted = trainer.submit(plan, TIMEOUT_MS);
    let isDone = false;
    const calls: Promise<unknown>[] = [];
    const load = (async () => {
      for (let i = 0; !isDone; i += 1) {
        const id = `${batch}-call-${i}`;
        calls.push(trainer.sendCall(`${plain}${id}`, { id }).catch(() => {}));
        await sleep(CALL_INTERVAL_MS);
      }
    })();
    try {
      await work();
    } finally {
      isDone = true;
      await load;
      await Promise.all(calls);
      await submitted;
      await trainer.end(batch, TIMEOUT_MS);
    }
  }

  /** Checks that nothing more reaches a data centre while another serves. */
  async function expectEvacuated(zone: string): Promise<void> {
    await sleep(SPREAD_MS);
    const before = countArrivals(zone);
    await sleep(WATCHED_MS);
    expect(countArrivals(zone)).toBe(before);
  }

  async function expectServed(zone: string): Promise<void> {
    const before = countArrivals(zone);
    const endsAt = Date.now() + TIMEOUT_MS;
    while (countArrivals(zone) === before && Date.now() < endsAt) {
      await sleep(CALL_INTERVAL_MS);
    }
    expect(countArrivals(zone)).toBeGreaterThan(before);
  }

  /** Runs an evacuation under load; the data centre serves before and after. */
  async function doTest(
    evacuate: () => Promise<unknown>,
    during: () => Promise<unknown> = () => Promise.resolve(),
  ): Promise<void> {
    await runUnderLoad(async () => {
      await expectServed(EVACUATED);
      await evacuate();
      await expectEvacuated(EVACUATED);
      await expectServed(OTHER);
      await during();
      await order("Finish", EVACUATED);
      await expectServed(EVACUATED);
    });
  }

  /** Waits for the control instance that has last become leader. */
  async function findControlLeader(): Promise<FleetMachine> {
    while (true) {
      const [best] = fleet.machinesWithRole(FleetRole.Control)
        .map((machine) => ({ machine, term: leadingTermOf(machine) }))
        .sort((x, y) => y.term - x.term);
      if (best.term > 0) return best.machine;
      await sleep(CALL_INTERVAL_MS);
    }
  }

  // Guards against calls and items that reach a target there after the order.
  it(
    "sends nothing to its targets until it is withdrawn",
    () => doTest(() => order("Begin", EVACUATED)),
    TIMEOUT_MS,
  );

  // Guards against a repeated order that is refused or that changes anything.
  it(
    "acknowledges repeated orders, at any control instance",
    () =>
      doTest(async () => {
        for (const control of fleet.controlAddresses) {
          const url = `http://${control}/-/Evacuate.Begin/${EVACUATED}`;
          const response = await request(url, { method: "POST" });
          await response.body.dump();
          expect(response.statusCode).toBe(200);
        }
      }),
    TIMEOUT_MS,
  );

  // Guards against an order that replaces another one.
  it("keeps one evacuation when another begins and ends", () =>
    doTest(
      () => order("Begin", EVACUATED),
      async () => {
        await order("Begin", "c");
        await expectEvacuated(EVACUATED);
        await order("Finish", "c");
        await expectEvacuated(EVACUATED);
      },
    ), TIMEOUT_MS);

  // Guards against an order lost beside a change of the policy.
  it("applies an order beside a change of the policy", () => {
    version += 1;
    const policy = fleetPolicy({ version, keys: [FLEET_KEY] });
    return doTest(() =>
      Promise.all([
        fleet.putPolicy(policy, TIMEOUT_MS),
        order("Begin", EVACUATED),
      ])
    );
  }, TIMEOUT_MS);

  // Guards against an acknowledgement of an order that the next leader lacks.
  it(
    "keeps an order that is acknowledged after the leader is killed",
    () =>
      doTest(async () => {
        const leader = await findControlLeader();
        const pending = order("Begin", EVACUATED);
        await fleet.kill(leader);
        await pending;
        fleet.start(leader);
      }),
    TIMEOUT_MS,
  );

  // Guards against an order lost by a snapshot or a restart, and against
  // requests of instances that have just started and do not know of it.
  it(
    "keeps an order over a loss of power of all machines",
    async () => {
      await order("Begin", EVACUATED);
      await Promise.all(fleet.machines.map((machine) => fleet.kill(machine)));
      const before = countArrivals(EVACUATED);
      for (const machine of fleet.machines) fleet.start(machine);
      await fleet.waitUntilReady();
      await runUnderLoad(async () => {
        await expectServed(OTHER);
        await expectEvacuated(EVACUATED);
        expect(countArrivals(EVACUATED)).toBe(before);
        await order("Finish", EVACUATED);
        await expectServed(EVACUATED);
      });
    },
    TIMEOUT_MS * 2,
  );

  // Guards against an entry instance that starts without the order.
  it(
    "keeps instances that start from sending requests there",
    () =>
      doTest(() => order("Begin", EVACUATED), async () => {
        const before = countArrivals(EVACUATED);
        const ledgers = fleet.machinesWithRole(FleetRole.Ledger);
        const entries = fleet.machinesWithRole(FleetRole.Entry);
        for (const machine of [...entries, ledgers[0]]) {
          await fleet.kill(machine);
          fleet.start(machine);
        }
        await fleet.waitUntilReady();
        await expectEvacuated(EVACUATED);
        expect(countArrivals(EVACUATED)).toBe(before);
      }),
    TIMEOUT_MS * 2,
  );

  // Guards against calls that wait, or run, where no other data centre serves.
  it(
    "refuses calls at once if no other data centre has targets",
    async () => {
      await order("Begin", EVACUATED);
      await order("Begin", OTHER);
      await sleep(SPREAD_MS);
      const before = countArrivals(EVACUATED) + countArrivals(OTHER);
      const response = await trainer.sendCall(`${plain}x`, { id: "only-1" });
      expect(response.status).toBe(503);
      expect(response.retryAfterS).toBeGreaterThan(0);
      expect(countArrivals(EVACUATED) + countArrivals(OTHER)).toBe(before);
      await order("Finish", EVACUATED);
      await order("Finish", OTHER);
      await runUnderLoad(async () => {
        await expectServed(EVACUATED);
        await expectServed(OTHER);
      });
    },
    TIMEOUT_MS,
  );

  // Guards against a run cut short by an order, and one resumed there.
  it("lets the runs in progress end by themselves", async () => {
    const items = Array.from({ length: 24 }, (_, i) => `calm${i}-0`);
    const plan = { id: "calm", model, minVersion: 0, items };
    await trainer.submit(plan, TIMEOUT_MS);
    await expectServed(EVACUATED);
    await order("Begin", EVACUATED);
    const results = await trainer.readAll(plan, TIMEOUT_MS);
    for (const { id, text, state } of results) {
      expect({ state, text }).toEqual({
        state: "completed",
        text: outputOf(id),
      });
    }
    const runs = (targets.get(EVACUATED) ?? []).flatMap((k) => k.runs)
      .filter((run) => items.includes(run.request));
    expect(runs.length).toBeGreaterThan(0);
    expect(runs.every((run) => run.completedAt !== undefined)).toBe(true);
    await order("Finish", EVACUATED);
  }, TIMEOUT_MS);

  async function doRefusalTest(
    path: string,
    body: string | null,
    expected: number,
  ): Promise<void> {
    const [control] = fleet.controlAddresses;
    const response = await request(`http://${control}${path}`, {
      method: "POST",
      body,
    });
    await response.body.dump();
    expect(response.statusCode).toBe(expected);
    await runUnderLoad(() => expectServed(EVACUATED));
  }

  it("refuses an order with a body, which has no effect", () =>
    doRefusalTest(`/-/Evacuate.Begin/${EVACUATED}`, "{}", 400));

  it("refuses an order for an unknown data centre", () =>
    doRefusalTest("/-/Evacuate.Begin/nowhere", null, 404));
}, 300_000);

/** Gets the last term that a machine led according to its log; 0 for none. */
function leadingTermOf({ process }: FleetMachine): number {
  const line = process?.lines.findLast((text) =>
    text.includes(`"event":1501`) && text.includes(`"fleet"`)
  );
  return Number(/"term":(\d+)/.exec(line ?? "")?.[1] ?? 0);
}
