/** Ends of batches while the ledger does not answer, over real processes. */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { request } from "undici";
import type { FleetReplica } from "../fakes/fleet_replica.ts";
import { FleetRole } from "../src/core/fleet/mod.ts";
import { sleep } from "./support/fleet_deployment.ts";
import { FLEET_KEY, FleetFixture } from "./support/fleet_fixture.ts";
import type { BatchPlan } from "./support/fleet_trainer.ts";
import { FLEET_NAMES } from "./support/fleet_policy.ts";

const { host, engines, model } = FLEET_NAMES;
const TIMEOUT_MS = 30_000;
const ITEMS = 600;
/** Statuses by which a caller knows that its request was not carried out. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
/** Time for which a caller waits for the answer to one attempt. */
const ATTEMPT_TIMEOUT_MS = 2_000;
/** Time for which the ledger does not answer. */
const SILENT_MS = 5_000;
/** Time from the return of the ledger in which the end takes effect. */
const END_DUE_MS = 3_000;
/** Time for which arrivals are watched. */
const WATCHED_MS = 2_000;

describe("batches while the ledger is silent", () => {
  let fixture: FleetFixture;
  let targets: FleetReplica[];

  beforeAll(async () => {
    fixture = await FleetFixture.start({ controls: 3, ledgers: 3, entries: 2 });
    targets = [1, 2].map(() =>
      fixture.createTarget({ service: engines, models: [model], workMs: 60 })
    );
    for (const target of targets) await target.start();
    await sleep(1_000);
  }, 60_000);

  afterAll(() => fixture.stop());

  /** Sends the end of a batch once; gets the status, or undefined. */
  async function tryEnd(
    entry: string,
    batch: string,
  ): Promise<number | undefined> {
    try {
      const response = await request(`http://${entry}/-/lots/${batch}`, {
        method: "DELETE",
        headers: { host, authorization: `Bearer ${FLEET_KEY}` },
        signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
      });
      await response.body.dump();
      return response.statusCode;
    } catch {
      return undefined;
    }
  }

  const countArrivals = (batch: string) =>
    targets.flatMap(({ runs }) => runs)
      .filter((run) => run.request.startsWith(batch)).length;

  function createPlan(batch: string, size: number): BatchPlan {
    const items = Array.from({ length: size }, (_, i) => `${batch}x${i}-0`);
    return { id: batch, model, minVersion: 0, items };
  }

  function signalLedgers(signal: NodeJS.Signals): void {
    for (const machine of fixture.fleet.machinesWithRole(FleetRole.Ledger)) {
      fixture.fleet.signal(machine, signal);
    }
  }

  /** Ends a batch while no ledger instance runs; its caller tries twice. */
  async function doTest(batch: string): Promise<void> {
    await fixture.client.submit(createPlan(batch, ITEMS), TIMEOUT_MS);
    while (countArrivals(batch) === 0) await sleep(10);
    signalLedgers("SIGSTOP");
    const resumed = sleep(SILENT_MS).then(() => signalLedgers("SIGCONT"));
    const statuses: (number | undefined)[] = [];
    for (const entry of fixture.fleet.entries) {
      statuses.push(await tryEnd(entry, batch));
    }
    await resumed;
    expect(statuses.filter((status) => NOT_RUN_STATUSES.includes(status ?? 0)))
      .toEqual([]);
    await sleep(END_DUE_MS);
    const before = countArrivals(batch);
    await sleep(WATCHED_MS);
    expect(before).toBeLessThan(ITEMS);
    expect(countArrivals(batch)).toBe(before);
  }

  it("run no more items though the ledger was silent when their caller ended them", () =>
    doTest("silent"));
});
