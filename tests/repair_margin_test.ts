/** Time that a log's group needs after a lost disk, in virtual time. */
import { describe, expect, it } from "vitest";
import { Disturbance, simulateRepairs } from "./support/repair_simulation.ts";

/** Time after its return for which an instance counts as lost. */
const CATCH_UP_MS = 4_900;
const MB = 1_000_000;
/** Seeds of each case; `REPAIR_SEEDS` names another number. */
const SEEDS = Number(process.env.REPAIR_SEEDS ?? 8);

// Guards against a group that is not whole when the next disk is lost.
describe("a group that loses a disk each time the last may be repaired", () => {
  function doTest(disturbance: Disturbance, stateBytes: number) {
    const failed: string[] = [];
    let longestMs = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const { repairsMs, lost } = simulateRepairs({
        seed,
        stateBytes,
        disturbance,
        catchUpMs: CATCH_UP_MS,
        hasSpare: seed % 2 === 0,
      });
      longestMs = Math.max(longestMs, ...repairsMs);
      const isRepaired = repairsMs.length === 3 &&
        repairsMs.every((ms) => ms < CATCH_UP_MS);
      if (!isRepaired || lost.length > 0) {
        failed.push(`seed ${seed}: ${repairsMs.map(Math.round)}, lost ${lost}`);
      }
    }
    if (process.env.REPAIR_SEEDS) {
      console.log(disturbance, stateBytes, longestMs);
    }
    expect(failed).toEqual([]);
  }

  for (const stateBytes of [7 * MB, 70 * MB]) {
    for (const disturbance of Object.values(Disturbance)) {
      it(`is whole in time: ${stateBytes / MB} MB, ${disturbance}`, () =>
        doTest(disturbance, stateBytes));
    }
  }
});
