import { beforeAll, describe, expect, it } from "vitest";
import { bundleFleet } from "../../scripts/bundle.ts";
import { StartSoak } from "./start_soak.ts";

/** Seeds of every test run; each seed that fails is added, with its cause. */
const SEEDS: readonly number[] = [1];

describe(StartSoak.name, () => {
  beforeAll(bundleFleet);

  for (const seed of SEEDS) {
    it(
      `finds each instance as it must be in the states of seed ${seed}`,
      async () => {
        const lines: string[] = [];
        const { findings, starts, answered } = await StartSoak.run({
          seed,
          lengthMs: 12_000,
          log: (line) => lines.push(line),
        });
        const shown = findings.length > 0 ? lines.slice(-200) : [];
        expect({ findings, shown }).toEqual({ findings: [], shown: [] });
        expect(starts).toBeGreaterThan(0);
        expect(answered).toBeGreaterThan(0);
      },
      120_000,
    );
  }
});
