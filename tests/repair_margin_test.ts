/** Time that a log's group needs after a lost disk, in virtual time. */
import { describe, expect, it } from "vitest";
import {
  Disturbance,
  type RepairReport,
  type RepairSimulationOptions,
  simulateRepairs,
} from "./support/repair_simulation.ts";

/** Time after its return for which an instance counts as lost. */
const CATCH_UP_MS = 4_900;
/** Longest repair of a group whose replicas take references. */
const MAX_REPAIR_MS = CATCH_UP_MS / 2;
const MB = 1_000_000;
/** Seeds of each case; `REPAIR_SEEDS` names another number. */
const SEEDS = Number(process.env.REPAIR_SEEDS ?? 8);

/** Reports of a case, by seed; each case is simulated once. */
const reports = new Map<string, readonly RepairReport[]>();

function getReports(
  options: Pick<
    RepairSimulationOptions,
    "disturbance" | "stateBytes" | "takesReferences"
  >,
): readonly RepairReport[] {
  const key = JSON.stringify(options);
  const known = reports.get(key);
  if (known !== undefined) return known;
  const simulated = Array.from({ length: SEEDS }, (_, i) =>
    simulateRepairs({
      ...options,
      seed: i + 1,
      catchUpMs: CATCH_UP_MS,
      hasSpare: i % 2 === 1,
    }));
  reports.set(key, simulated);
  return simulated;
}

// Guards against a group that is not whole when the next disk is lost.
describe("a group that loses a disk each time the last may be repaired", () => {
  function doTest(
    disturbance: Disturbance,
    stateBytes: number,
    maxRepairMs = CATCH_UP_MS,
  ) {
    const takesReferences = maxRepairMs < CATCH_UP_MS;
    const cases = getReports({ disturbance, stateBytes, takesReferences });
    const failed = cases.flatMap(({ repairsMs, lost }, i) => {
      const isRepaired = repairsMs.length === 3 &&
        repairsMs.every((ms) => ms < maxRepairMs);
      if (isRepaired && lost.length === 0) return [];
      return [`seed ${i + 1}: ${repairsMs.map(Math.round)}, lost ${lost}`];
    });
    if (process.env.REPAIR_SEEDS) {
      const repairsMs = cases.flatMap((report) => report.repairsMs);
      console.log(disturbance, stateBytes, Math.max(...repairsMs));
    }
    expect(failed).toEqual([]);
  }

  function doTestTexts(disturbance: Disturbance, stateBytes: number) {
    const takesReferences = true;
    const failed = getReports({ disturbance, stateBytes, takesReferences })
      .flatMap(({ lostTexts }, i) =>
        lostTexts.length === 0
          ? []
          : [`seed ${i + 1}: ${lostTexts.length} texts lost`]
      );
    expect(failed).toEqual([]);
  }

  for (const stateBytes of [7 * MB, 70 * MB]) {
    for (const disturbance of Object.values(Disturbance)) {
      if (disturbance === Disturbance.SlowMachines) continue;
      it(`is whole in time: ${stateBytes / MB} MB, ${disturbance}`, () =>
        doTest(disturbance, stateBytes));
    }
  }

  // Guards against a repair whose time grows with the state and the machine.
  describe("with references in place of texts", () => {
    for (const stateBytes of [70 * MB, 200 * MB]) {
      for (const disturbance of Object.values(Disturbance)) {
        const name = `${stateBytes / MB} MB, ${disturbance}`;
        it(`is whole in half of the time: ${name}`, () =>
          doTest(disturbance, stateBytes, MAX_REPAIR_MS));
        it(`keeps all texts: ${name}`, () =>
          doTestTexts(disturbance, stateBytes));
      }
    }
  });
});
