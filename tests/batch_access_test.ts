import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { sleep } from "./support/fleet_deployment.ts";
import {
  FLEET_KEY,
  FleetFixture,
  OTHER_FLEET_KEY,
} from "./support/fleet_fixture.ts";
import { FLEET_NAMES, fleetPolicy } from "./support/fleet_policy.ts";
import { type BatchPlan, FleetTrainer } from "./support/fleet_trainer.ts";

const { host, rollout, model } = FLEET_NAMES;
const ACK_MS = 5_000;
/** Time in which a policy is in force at all entry instances. */
const APPLY_MS = 1_500;
const RESULTS_MS = 15_000;
const ENTRIES = 2;

interface RouteDocument {
  readonly name: string;
  readonly host: string;
}

interface PolicyDocument {
  readonly routes: readonly RouteDocument[];
}

describe("access to batches that were accepted", () => {
  let fixture: FleetFixture;
  let version = 1;

  beforeAll(async () => {
    fixture = await FleetFixture.start({
      controls: 3,
      ledgers: 1,
      entries: ENTRIES,
    });
    await fixture.startEngines(5, ["v1"]);
  });

  afterAll(() => fixture.stop());

  /** Puts a changed policy in force at all instances. */
  async function putPolicy(
    change: (policy: PolicyDocument) => unknown,
  ): Promise<void> {
    version += 1;
    const policy = fleetPolicy({
      version,
      keys: [FLEET_KEY],
      otherKeys: [OTHER_FLEET_KEY],
    });
    await fixture.fleet.putPolicy(change(policy as PolicyDocument), ACK_MS);
    await sleep(APPLY_MS);
  }

  function createTrainer(key: string | undefined): FleetTrainer {
    return new FleetTrainer({
      entries: fixture.fleet.entries,
      host,
      key,
      prefix: rollout,
    });
  }

  function createPlan(id: string): BatchPlan {
    const items = [`${id}-1`, `${id}-2`];
    return { id, model, minVersion: 0, items };
  }

  /** Gets the statuses of all calls of a batch, at each entry instance. */
  async function askAll(
    trainer: FleetTrainer,
    plan: BatchPlan,
  ): Promise<number[]> {
    const path = `/-/lots/${plan.id}`;
    const answers = [];
    for (let i = 0; i < ENTRIES; i += 1) {
      answers.push(await trainer.send("GET", path, {}));
    }
    for (let i = 0; i < ENTRIES; i += 1) {
      answers.push(await trainer.sendBatch(plan));
    }
    for (let i = 0; i < ENTRIES; i += 1) {
      answers.push(await trainer.send("DELETE", path, {}));
    }
    return answers.map(({ status }) => status);
  }

  const TO_ALL = [200, 200, 202, 202, 200, 200];

  async function doRouteTest(
    id: string,
    change: (routes: readonly RouteDocument[]) => readonly RouteDocument[],
  ): Promise<void> {
    await putPolicy((policy) => policy);
    const trainer = createTrainer(FLEET_KEY);
    const plan = createPlan(id);
    await trainer.submit(plan, ACK_MS);
    await trainer.readAll(plan, RESULTS_MS);
    await putPolicy((policy) => ({
      ...policy,
      routes: change(policy.routes),
    }));
    expect(await askAll(trainer, plan)).toEqual(TO_ALL);
    const refused = await trainer.sendBatch(createPlan(`${id}-new`));
    expect(refused.status).toBe(404);
  }

  /** Submits a batch, and calls it with one key after another. */
  async function doOwnerTest(
    id: string,
    { submitKey, change, expected }: {
      readonly submitKey: string | undefined;
      readonly change: (policy: PolicyDocument) => unknown;
      readonly expected: readonly (readonly [string | undefined, number[]])[];
    },
  ): Promise<void> {
    await putPolicy(change);
    const plan = createPlan(id);
    const owner = createTrainer(submitKey);
    await owner.submit(plan, ACK_MS);
    await owner.readAll(plan, RESULTS_MS);
    for (const [key, statuses] of expected) {
      expect([key, await askAll(createTrainer(key), plan)])
        .toEqual([key, statuses]);
    }
  }

  const TO_NOBODY = [401, 401, 401, 401, 401, 401];
  const TO_OTHERS = [404, 404, 404, 404, 404, 404];

  const makeAnonymous = (policy: PolicyDocument) => ({
    ...policy,
    routes: policy.routes.map((route) => ({ ...route, anonymous: true })),
  });

  // Guards against accepted batches that nobody can read or end.
  it("belongs to the holder of the key that came to an anonymous route", () =>
    doOwnerTest("anonymous-key", {
      submitKey: FLEET_KEY,
      change: makeAnonymous,
      expected: [
        [undefined, TO_NOBODY],
        ["unknown-key", TO_NOBODY],
        [OTHER_FLEET_KEY, TO_OTHERS],
        [FLEET_KEY, TO_ALL],
      ],
    }));

  it("is open to its identifier if no key came to an anonymous route", () =>
    doOwnerTest("anonymous", {
      submitKey: undefined,
      change: makeAnonymous,
      expected: [[undefined, TO_ALL], [FLEET_KEY, TO_ALL]],
    }));

  it("is open to its identifier in a configuration without workspaces", () =>
    doOwnerTest("no-workspaces", {
      submitKey: FLEET_KEY,
      change: (policy) => ({ ...policy, tenants: [] }),
      expected: [[FLEET_KEY, TO_ALL], [undefined, TO_ALL]],
    }));

  // Guards against accepted batches that are answered as missing.
  it("lasts after its route has gone", () =>
    doRouteTest("gone", (routes) =>
      routes.map((route) => ({
        ...route,
        host: route.name === "rollout" ? "other.example" : route.host,
      }))));

  it("lasts after its host has no route any more", () =>
    doRouteTest(
      "moved",
      (routes) => routes.map((route) => ({ ...route, host: "other.example" })),
    ));
});
