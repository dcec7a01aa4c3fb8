/** Emptying of a ledger instance, ordered at any control instance. */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { request } from "undici";
import { FleetDeployment, sleep } from "./support/fleet_deployment.ts";
import { fleetPolicy } from "./support/fleet_policy.ts";
import { LoopbackNet } from "./support/loopback_net.ts";

const TIMEOUT_MS = 15_000;
const RETRY_DELAY_MS = 200;

describe("fleet with more control instances than links", () => {
  let fleet: FleetDeployment;

  beforeAll(async () => {
    fleet = new FleetDeployment({
      net: await LoopbackNet.claim(),
      controls: 5,
      ledgers: 4,
      entries: 0,
    });
    await fleet.startAll(fleetPolicy({ version: 1, keys: [] }));
  }, 60_000);

  afterAll(() => fleet.stop());

  async function doTest(
    options: { control: string; method: "GET" | "POST"; path: string },
    expected: unknown,
  ): Promise<void> {
    const { control, method, path } = options;
    const endsAt = Date.now() + TIMEOUT_MS;
    let last: unknown;
    while (Date.now() < endsAt) {
      const response = await request(`http://${control}${path}`, {
        method,
        body: method === "POST" ? JSON.stringify({ periodS: 10 }) : null,
      });
      const text = await response.body.text();
      last = response.statusCode === 200 ? text : response.statusCode;
      if (last === expected) return;
      await sleep(RETRY_DELAY_MS);
    }
    expect(last).toBe(expected);
  }

  it("empties an instance that the asked one has no link to", async () => {
    const control = fleet.controlAddresses.at(-1)!;
    await doTest(
      { control, method: "POST", path: "/-/Retire.Begin/ledger-4" },
      "{}",
    );
    await doTest(
      { control, method: "GET", path: "/-/Retire.Read/ledger-4" },
      JSON.stringify({ state: "completed" }),
    );
  });
});
