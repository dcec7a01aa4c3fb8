/** Requests that may run in some regions only, over real processes. */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type { FleetReplica } from "../fakes/fleet_replica.ts";
import { type FleetDeployment, sleep } from "./support/fleet_deployment.ts";
import {
  FLEET_KEY as KEY,
  FleetFixture,
  OTHER_FLEET_KEY as OTHER_KEY,
} from "./support/fleet_fixture.ts";
import { FLEET_NAMES, fleetPolicy } from "./support/fleet_policy.ts";
import type { FleetTrainer } from "./support/fleet_trainer.ts";

const { plain, once, engines, apps, model, workspace } = FLEET_NAMES;
const TIMEOUT_MS = 20_000;
const CALLS = 20;
const REGIONS = { a: "north", b: "east", c: "west" };

interface Source {
  version: number;
  routes: { name: string; allowedRegions?: string[] }[];
  tenants: { name: string; allowedRegions?: string[] }[];
}

/** Gives homes to the route `plain`, to batches and to one workspace. */
function policyWithHomes(version: number, region = "east"): Source {
  const source = fleetPolicy({
    version,
    keys: [KEY],
    otherKeys: [OTHER_KEY],
  }) as Source;
  for (const route of source.routes) {
    if (route.name === "plain") route.allowedRegions = [region];
    if (route.name === "rollout") route.allowedRegions = ["north"];
  }
  for (const tenant of source.tenants) {
    if (tenant.name === workspace) continue;
    tenant.allowedRegions = ["north", "west"];
  }
  return source;
}

describe("requests with homes", () => {
  let fixture: FleetFixture;
  let fleet: FleetDeployment;
  let trainer: FleetTrainer;
  const targets = new Map<string, FleetReplica>();
  let callCount = 0;

  beforeAll(async () => {
    fixture = await FleetFixture.start({
      controls: 3,
      ledgers: 3,
      entries: 2,
      regions: REGIONS,
      policy: policyWithHomes(1),
    });
    ({ fleet, client: trainer } = fixture);
    for (const zone of ["a", "b"]) {
      const target = fixture.createTarget({ service: apps, zone, slots: 64 });
      targets.set(zone, await target.start());
      const engine = { service: engines, models: [model], zone };
      targets.set(`engine ${zone}`, await fixture.createTarget(engine).start());
    }
    await sleep(700);
  }, 60_000);

  afterAll(() => fixture.stop());

  async function doTest(
    prefix: string,
    key: string,
    expected: { readonly statuses: number[]; readonly zones: string[] },
  ) {
    const counts = new Map(
      [...targets].map(([zone, { arrivals }]) => [zone, arrivals.length]),
    );
    const calls = Array.from({ length: CALLS }, () => {
      callCount += 1;
      const id = `homes-${callCount}`;
      return trainer.sendCall(`${prefix}${id}`, { id, key });
    });
    const answers = await Promise.all(calls);
    const zones = [...targets].filter(([zone, { arrivals }]) =>
      arrivals.length > (counts.get(zone) ?? 0)
    ).map(([zone]) => zone);
    const statuses = [...new Set(answers.map(({ status }) => status))];
    expect({ statuses, zones }).toEqual(expected);
    return answers;
  }

  // Guards against calls that leave the homes of their route.
  it("sends the calls of a route to its homes", async () => {
    await doTest(plain, KEY, { statuses: [200], zones: ["b"] });
  });

  // Guards against calls that leave the homes of their workspace.
  it("sends the calls of a workspace to its homes", async () => {
    await doTest(once, OTHER_KEY, { statuses: [200], zones: ["a"] });
  });

  it("uses all data centres for calls without homes", async () => {
    await doTest(once, KEY, { statuses: [200], zones: ["a", "b"] });
  });

  // Guards against calls that wait, or run elsewhere, if homes exclude each
  // other or are evacuated.
  it("refuses calls for which no target is in a home", async () => {
    const refused = { statuses: [503], zones: [] };
    const [first] = await doTest(plain, OTHER_KEY, refused);
    expect(JSON.parse(first.text).error.code).toBe("homeUnavailable");
    expect(first.retryAfterS).toBeGreaterThan(0);
    const order = (type: string) =>
      fleet.sendToControl("POST", `/-/Evacuate.${type}/b`, {
        timeoutMs: TIMEOUT_MS,
      });
    await order("Begin");
    await sleep(1_000);
    await doTest(plain, KEY, refused);
    await order("Finish");
  });

  // Guards against bodies kept by ledger instances outside the homes.
  it("refuses a batch that the ledger would keep elsewhere", async () => {
    const plan = { id: "kept", model, minVersion: 0, items: ["kept-1"] };
    await expect(trainer.submit(plan, 500)).rejects.toThrow();
    expect(fleet.logLines.some((line) => line.includes("may not be kept")))
      .toBe(true);
    expect(await trainer.read("kept", 0)).toBeUndefined();
  });

  it("refuses a configuration that names an unknown region", async () => {
    await expect(fleet.putPolicy(policyWithHomes(2, "moon"), TIMEOUT_MS))
      .rejects.toThrow("400");
    expect(await fleet.readPolicy(TIMEOUT_MS)).toEqual(policyWithHomes(1));
  });
}, 120_000);
