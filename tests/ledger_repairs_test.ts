/** Ledger instances that lose their disks one after the other, as processes. */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { FleetRole } from "../src/core/fleet/mod.ts";
import { type FleetMachine, sleep } from "./support/fleet_deployment.ts";
import { FleetFixture } from "./support/fleet_fixture.ts";
import { FLEET_NAMES } from "./support/fleet_policy.ts";
import type { BatchPlan, ReadResult } from "./support/fleet_trainer.ts";

/** Number of batches before the first loss; `REPAIR_BATCHES` names another. */
const BATCHES = Number(process.env.REPAIR_BATCHES ?? 16);
/** Losses of disks; `REPAIR_LOSSES` names another number. */
const LOSSES = Number(process.env.REPAIR_LOSSES ?? 3);
/** Time from a repair to the next loss; `REPAIR_PAUSE_MS` names another. */
const PAUSE_MS = Number(process.env.REPAIR_PAUSE_MS ?? 1_000);
const ITEMS = 48;
/** Makes texts long, as they repeat the identifiers of their items. */
const LONG_SUFFIX = "x".repeat(150);
const DOWN_MS = 500;
const BATCH_TIMEOUT_MS = 40_000;
const VOTERS = 3;

// Guards against a group that is not whole when the next disk is lost.
describe("a ledger of three real processes", () => {
  let fixture: FleetFixture;

  beforeEach(async () => {
    fixture = await FleetFixture.start({ controls: 1, ledgers: 3, entries: 2 });
    await fixture.startEngines(1, ["v1", "v1", "v1"]);
  }, 60_000);
  afterEach(() => fixture.stop());

  function planBatch(id: string): BatchPlan {
    const items = Array.from(
      { length: ITEMS },
      (_, i) => `${id}-${i}${LONG_SUFFIX}`,
    );
    return { id, model: FLEET_NAMES.model, minVersion: 0, items };
  }

  async function runBatch(id: string): Promise<readonly ReadResult[]> {
    const plan = planBatch(id);
    await fixture.client.submit(plan, BATCH_TIMEOUT_MS);
    return await fixture.client.readAll(plan, BATCH_TIMEOUT_MS);
  }

  /** Gets the voters that the leaders proposed last, by the time of that. */
  function getVoters(): readonly string[] {
    const changes = fixture.fleet.machinesWithRole(FleetRole.Ledger)
      .flatMap(({ process }) => process?.lines ?? [])
      .filter((line) => line.includes('"event":1506'))
      .map((line) => JSON.parse(line))
      .filter(({ log }) => log === "batches")
      .sort((a, b) => Date.parse(a.time) - Date.parse(b.time));
    return changes.at(-1)?.voters ?? [];
  }

  /** Gets the replica of a machine's process, once it has opened its store. */
  function getReplica({ process }: FleetMachine): string | undefined {
    const line = process?.lines.find((text) =>
      text.includes('"event":1507') && text.includes('"log":"batches"')
    );
    return line === undefined ? undefined : JSON.parse(line).replica;
  }

  /** Waits until the replica of a machine has fetched all texts. */
  async function untilComplete({ process }: FleetMachine): Promise<void> {
    await process?.waitForLine((line) =>
      line.includes('"event":1515') && line.includes('"missingBytes":0')
    );
  }

  /** Loses a disk; gets the time from the return to three votes. */
  async function loseDisk(machine: FleetMachine): Promise<number> {
    const { fleet } = fixture;
    await fleet.kill(machine);
    fleet.wipe(machine);
    await sleep(DOWN_MS);
    const returnedAt = Date.now();
    fleet.start(machine);
    await expect.poll(() => {
      const voters = getVoters();
      const replica = getReplica(machine);
      return replica !== undefined && voters.includes(replica) &&
        voters.length === VOTERS;
    }, { timeout: 30_000, interval: 20 }).toBe(true);
    return Date.now() - returnedAt;
  }

  it(
    "keeps all results through the loss of one disk after the other",
    async () => {
      const expected = new Map<string, readonly ReadResult[]>();
      for (let i = 0; i < BATCHES; i += 1) {
        expected.set(`b${i}`, await runBatch(`b${i}`));
      }
      const ledgers = fixture.fleet.machinesWithRole(FleetRole.Ledger);
      const repairsMs: number[] = [];
      for (let i = 0; i < LOSSES; i += 1) {
        const machine = ledgers[i % ledgers.length];
        repairsMs.push(await loseDisk(machine));
        await untilComplete(machine);
        expected.set(`l${i}`, await runBatch(`l${i}`));
        await sleep(PAUSE_MS);
      }
      if (process.env.REPAIR_LOSSES) console.log("repairs, ms:", repairsMs);
      for (const [id, results] of expected) {
        expect(await fixture.client.readAll(planBatch(id), BATCH_TIMEOUT_MS))
          .toEqual(results);
      }
    },
    240_000,
  );
});
