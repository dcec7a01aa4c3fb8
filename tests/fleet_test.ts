import { afterAll, beforeAll, describe, expect, it, vi } from "vitest";
import { FleetReceiver } from "../fakes/fleet_receiver.ts";
import type { FleetReplica } from "../fakes/fleet_replica.ts";
import { outputOf } from "../fakes/fleet_text.ts";
import { FleetRole } from "../src/core/fleet/mod.ts";
import {
  FleetDeployment,
  type FleetMachine,
  sleep,
} from "./support/fleet_deployment.ts";
import { FLEET_NAMES, fleetPolicy } from "./support/fleet_policy.ts";
import { FleetTrainer, scoringIdOf } from "./support/fleet_trainer.ts";
import { LoopbackNet } from "./support/loopback_net.ts";

const { host, plain, once, rollout, engines, apps, model } = FLEET_NAMES;
const KEY = "key-of-the-park";
const TIMEOUT_MS = 30_000;
/** Lines of each instance that a failure shows. */
const LINES_SHOWN = 40;

describe("fleet of real processes", () => {
  const receiver = new FleetReceiver();
  let fleet: FleetDeployment;
  let trainer: FleetTrainer;
  let replicas: FleetReplica[] = [];
  let app: FleetReplica;

  beforeAll(async () => {
    await receiver.start();
    fleet = new FleetDeployment({
      net: await LoopbackNet.claim(),
      controls: 3,
      ledgers: 3,
      entries: 2,
      receiver: receiver.address,
    });
    await fleet.startAll(fleetPolicy({ version: 1, keys: [KEY] }));
    replicas = [
      fleet.createTarget({ service: engines, models: [model] }),
      fleet.createTarget({ service: engines, models: [model] }),
    ];
    app = fleet.createTarget({ service: apps });
    for (const replica of [...replicas, app]) await replica.start();
    trainer = new FleetTrainer({
      entries: fleet.entries,
      host,
      key: KEY,
      prefix: rollout,
    });
    await sleep(500);
  }, 60_000);

  afterAll(async () => {
    await fleet.stop();
    for (const replica of [...replicas, app]) replica.crash();
    receiver.stop();
  });

  async function doTest(
    batch: string,
    options: {
      minVersion?: number;
      items?: number;
      during?: () => Promise<void>;
    },
  ) {
    const items = Array.from(
      { length: options.items ?? 12 },
      (_, i) => `${batch}${Math.floor(i / 4)}-${i}`,
    );
    const minVersion = options.minVersion ?? 0;
    const plan = { id: batch, model, minVersion, items };
    await trainer.submit(plan, TIMEOUT_MS);
    await options.during?.();
    const results = await trainer.readAll(plan, TIMEOUT_MS);
    expect(results.map((result) => result.id).sort())
      .toEqual([...items].sort());
    for (const { id, text, state, versions } of results) {
      expect({ state, text }).toEqual({
        state: "completed",
        text: outputOf(id),
      });
      expect(Math.min(...versions)).toBeGreaterThanOrEqual(minVersion);
    }
    const again = await trainer.readAll(plan, TIMEOUT_MS);
    expect(again).toEqual(results);
    await trainer.end(batch, TIMEOUT_MS);
  }

  /** Waits for the ledger instance that logs a batch: only the leader does. */
  async function waitForLeaderOf(batch: string): Promise<FleetMachine> {
    const acceptedEvent = `"event":2201,"batch":"${batch}"`;
    while (true) {
      const leader = fleet.machinesWithRole(FleetRole.Ledger)
        .find(({ process }) =>
          process?.lines.some((l) => l.includes(acceptedEvent))
        );
      if (leader !== undefined) return leader;
      await sleep(2);
    }
  }

  it("forwards a call once, and replaces its key by the workspace", async () => {
    const response = await trainer.sendCall(`${plain}x`, { id: "call-1" });
    expect(response.text).toBe("answer to call-1");
    expect(response.stamp).toBe(`${app.id}.call-1`);
    const runs = app.runs.filter((run) => run.request === "call-1");
    expect(runs.map((run) => run.workspace)).toEqual([FLEET_NAMES.workspace]);
  });

  it("refuses unknown keys and paths", async () => {
    const unknown = { id: "call-2", key: "nobody's" };
    expect((await trainer.sendCall(`${plain}x`, unknown)).status).toBe(401);
    expect((await trainer.sendCall("/nowhere/x", { id: "call-3" })).status)
      .toBe(404);
    expect(app.runs.some((run) => run.request === "call-2")).toBe(false);
  });

  it("runs a non-idempotent call once although its target crashes", async () => {
    const pending = trainer.sendCall(`${once}x`, { id: "call-4" });
    while (!app.runs.some((run) => run.request === "call-4")) await sleep(2);
    app.crash();
    const response = await pending;
    expect([502, 504]).toContain(response.status);
    expect(app.runs.filter((run) => run.request === "call-4")).toHaveLength(1);
    await app.start();
    await sleep(700);
  });

  it("completes a batch", () => doTest("calm", {}));

  it(
    "completes a batch although the leader of the ledger is killed",
    () =>
      doTest("leader", {
        items: 24,
        during: async () => {
          await sleep(150);
          const leader = await waitForLeaderOf("leader");
          await fleet.kill(leader);
          fleet.start(leader);
        },
      }),
    TIMEOUT_MS,
  );

  it("completes a batch although an engine crashes", () =>
    doTest("engine", {
      items: 24,
      during: async () => {
        await sleep(150);
        replicas[0].crash();
        await sleep(300);
        await replicas[0].start();
      },
    }), TIMEOUT_MS);

  it(
    "loads announced weights and keeps the minimum version of a batch",
    async () => {
      await fleet.sendToControl("POST", "/-/version-put", {
        body: { model, version: 2 },
        timeoutMs: TIMEOUT_MS,
      });
      await doTest("fresh", { minVersion: 2 });
      const fences = replicas.flatMap((replica) => replica.orders)
        .map((order) => order.fence);
      expect(Math.min(...fences)).toBeGreaterThan(0);
    },
    TIMEOUT_MS,
  );

  it("starts no further run of a batch that has ended", async () => {
    const items = Array.from({ length: 30 }, (_, i) => `ended${i}-0`);
    const plan = { id: "ended", model, minVersion: 0, items };
    await trainer.submit(plan, TIMEOUT_MS);
    await trainer.end(plan.id, TIMEOUT_MS);
    await sleep(1_000);
    const runsBefore = replicas.flatMap((replica) => replica.runs).length;
    await sleep(500);
    expect(replicas.flatMap((replica) => replica.runs)).toHaveLength(
      runsBefore,
    );
  }, TIMEOUT_MS);

  async function doScoringTest(
    batch: string,
    during: () => Promise<void> = () => Promise.resolve(),
  ): Promise<void> {
    const items = Array.from({ length: 12 }, (_, i) => `${batch}-${i}`);
    const failing = scoringIdOf(items[3]);
    app.fails = (request) => request === failing;
    const plan = { id: batch, model, minVersion: 0, items };
    await trainer.submit({ ...plan, scoringPrefix: plain }, TIMEOUT_MS);
    await during();
    const results = await trainer.readAll(plan, TIMEOUT_MS);
    for (const { id, state, text, score } of results) {
      const expected = id === items[3]
        ? { state: "abandoned", score: undefined }
        : { state: "completed", score: `${app.id}.${scoringIdOf(id)}` };
      expect({ state, score }).toEqual(expected);
      expect(text).toBe(outputOf(id));
      const calls = app.runs.filter((r) => r.request === scoringIdOf(id));
      expect(calls.map(({ workspace }) => workspace)).toContain("");
    }
    await trainer.end(batch, TIMEOUT_MS);
  }

  it(
    "scores the items of a batch and abandons those that cannot be scored",
    () => doScoringTest("scored"),
    TIMEOUT_MS,
  );

  it(
    "runs no scored text again after a change of the leader",
    () =>
      doScoringTest("rescored", async () => {
        const leader = await waitForLeaderOf("rescored");
        app.isSilent = true;
        await sleep(1_500);
        const runs = replicas.flatMap((r) => r.runs).length;
        await fleet.kill(leader);
        app.isSilent = false;
        await sleep(1_500);
        expect(replicas.flatMap((r) => r.runs).length).toBe(runs);
        fleet.start(leader);
      }),
    TIMEOUT_MS,
  );

  it("refuses a batch whose scoring calls have no route", async () => {
    const plan = {
      id: "unrouted",
      model,
      minVersion: 0,
      items: ["unrouted-1"],
    };
    await expect(
      trainer.submit({ ...plan, scoringPrefix: "/none/" }, 1_000),
    ).rejects.toThrow();
    expect(await trainer.read("unrouted", 0)).toBeUndefined();
  });

  it("sends no request to a draining target", async () => {
    const leaving = replicas[1];
    expect(await leaving.drain()).toBe(true);
    await sleep(300);
    const before = leaving.runs.length;
    await doTest("drained", { minVersion: 2 });
    expect(leaving.runs).toHaveLength(before);
    leaving.crash();
    await leaving.start();
  }, TIMEOUT_MS);

  /** Gets what control and entry instances logged last, for a failure. */
  function linesOfRefusal(): string[] {
    return [FleetRole.Control, FleetRole.Entry]
      .flatMap((role) => fleet.machinesWithRole(role))
      .flatMap(({ process }) => process?.lines.slice(-LINES_SHOWN) ?? []);
  }

  it(
    "sends no call to a target that says in responses that it leaves",
    async () => {
      const leaving = await fleet.createTarget({ service: apps }).start();
      leaving.saysLeaving = true;
      const send = (id: string) =>
        trainer.sendCall(`${plain}leaving/${id}`, { id, deadlineMs: 2_000 });
      try {
        await vi.waitUntil(async () => {
          const ids = ["a", "b", "c", "d"].map((id) => `${id}-${Date.now()}`);
          await Promise.all(ids.map(send));
          return leaving.runs.length > 0;
        }, { timeout: TIMEOUT_MS, interval: 20 });
        await sleep(300);
        for (const machine of fleet.machinesWithRole(FleetRole.Control)) {
          await fleet.kill(machine);
          fleet.start(machine);
        }
        await fleet.waitUntilReady();
        const before = leaving.runs.length;
        for (let i = 0; i < 40; i += 1) {
          const { status, text } = await send(`after-${i}`);
          const lines = status === 200 ? [] : linesOfRefusal();
          expect({ status, text, lines }).toEqual({
            status: 200,
            text: `answer to after-${i}`,
            lines: [],
          });
        }
        expect(leaving.runs).toHaveLength(before);
      } finally {
        leaving.crash();
      }
    },
    TIMEOUT_MS,
  );

  it(
    "keeps the policy with the highest revision and refuses invalid ones",
    async () => {
      const policy = fleetPolicy({ version: 5, keys: [KEY] });
      await fleet.putPolicy(policy, TIMEOUT_MS);
      await fleet.putPolicy(fleetPolicy({ version: 3, keys: [] }), TIMEOUT_MS);
      expect(await fleet.readPolicy(TIMEOUT_MS)).toEqual(policy);
      const invalid = { ...policy as object, version: 6, services: [] };
      await expect(fleet.putPolicy(invalid, TIMEOUT_MS)).rejects.toThrow("422");
      await expect(fleet.putPolicy("no policy", TIMEOUT_MS)).rejects
        .toThrow("400");
      expect(await fleet.readPolicy(TIMEOUT_MS)).toEqual(policy);
    },
    TIMEOUT_MS,
  );

  it("refuses a key after its withdrawal", async () => {
    await fleet.putPolicy(
      fleetPolicy({ version: 7, keys: [KEY, "second"] }),
      TIMEOUT_MS,
    );
    await sleep(300);
    const second = { id: "call-5", key: "second" };
    expect((await trainer.sendCall(`${plain}x`, second)).status).toBe(200);
    await fleet.putPolicy(fleetPolicy({ version: 8, keys: [KEY] }), TIMEOUT_MS);
    await sleep(300);
    for (const id of ["call-6", "call-7"]) {
      const response = await trainer.sendCall(`${plain}x`, {
        id,
        key: "second",
      });
      expect(response.status).toBe(401);
    }
  }, TIMEOUT_MS);

  it("reports the same counts on every report of a usage window", () => {
    const usage = receiver.accepted.filter((call) => call.path === "/usage");
    expect(usage.length).toBeGreaterThan(0);
    const figures = new Map<unknown, string>();
    for (const { body } of usage) {
      const counts = JSON.stringify(body.counts);
      expect(figures.get(body.windowId) ?? counts).toBe(counts);
      figures.set(body.windowId, counts);
    }
  });
}, 120_000);
