import { describe, expect, it } from "vitest";
import { FleetSoak } from "./fleet_soak.ts";

/** Seeds of every test run; each seed that fails is added, with its cause. */
const SEEDS: readonly number[] = [1, 2];

describe(FleetSoak.name, () => {
  for (const seed of SEEDS) {
    it(`violates no invariant under the faults of seed ${seed}`, async () => {
      const lines: string[] = [];
      const { violation, batches } = await FleetSoak.run({
        seed,
        lengthMs: 6_000,
        controls: 3,
        ledgers: 3,
        entries: 2,
        areFencesChecked: seed % 2 === 1,
        log: (line) => lines.push(line),
      });
      expect({ violation, lines: violation && lines.slice(-200) })
        .toEqual({ violation: undefined, lines: undefined });
      expect(batches).toBeGreaterThan(0);
    }, 120_000);
  }
});
