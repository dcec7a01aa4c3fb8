import { describe, expect, it } from "vitest";
import { type RemovedGuards, RunKind, runOnce } from "./runs.ts";
import { shorten } from "./schedule.ts";

const CLEAN_SEEDS = Array.from({ length: 30 }, (_, i) => i + 1);
/** Seeds tried until a run without a guard breaks a promise. */
const MAX_SEEDS = 150;

describe("randomised runs", () => {
  for (const kind of Object.values(RunKind)) {
    it(`break no promise of the ${kind}`, () => {
      for (const seed of CLEAN_SEEDS) {
        expect([seed, runOnce(kind, { seed }).violation])
          .toEqual([seed, undefined]);
      }
    });

    it(`give the same result for the same seed of the ${kind}`, () => {
      const first = runOnce(kind, { seed: 7 });
      expect(runOnce(kind, { seed: 7 })).toEqual(first);
      expect(first.steps).toBeGreaterThan(1_000);
    });
  }
});

describe("runs without a guard", () => {
  function doTest(kind: RunKind, removed: RemovedGuards, expected: RegExp) {
    for (let seed = 1; seed <= MAX_SEEDS; seed += 1) {
      const { violation } = runOnce(kind, { seed, removed });
      if (violation === undefined) continue;
      expect(violation).toMatch(expected);
      return seed;
    }
    return expect.fail(`No violation in ${MAX_SEEDS} seeds`);
  }

  it("find two leases where voters do not stick to their leader", () => {
    doTest(
      RunKind.Control,
      { consensus: { leaderStickiness: false } },
      /hold leases|in charge/,
    );
  });

  it("find lost commits where a lost disk keeps its identity", () => {
    doTest(
      RunKind.Control,
      { consensus: { incarnationCheck: false } },
      /committedStays|differs|lead term|answered|oneLeaderPerTerm/,
    );
  });

  it("find two in charge where a new leader does not wait", () => {
    doTest(
      RunKind.Control,
      { orders: { waitsAfterTakeover: false } },
      /in charge|The platform got/,
    );
  });

  it("find late orders where the lease is not checked", () => {
    doTest(
      RunKind.Control,
      { orders: { checksLease: false } },
      /in charge|The platform got/,
    );
  });

  it("find lost records where the primary does not wait for backups", () => {
    doTest(
      RunKind.Ledger,
      { ledger: { waitsForBackups: false } },
      /differs|started at|committedStays/,
    );
  });

  it("find two primaries where an old view is not refused", () => {
    doTest(
      RunKind.Ledger,
      { ledger: { refusesOldView: false } },
      /differs|started at|committedStays/,
    );
  });

  it("find lost records where a joiner counts too early", () => {
    doTest(
      RunKind.Ledger,
      { ledger: { joinerWhole: false } },
      /differs|started at|committedStays/,
    );
  });
});

describe(shorten.name, () => {
  it("keeps only the faults that the violation needs", () => {
    const fault = (at: number) => ({
      kind: "crash" as const,
      at,
      forMs: 1,
      pick: 0,
    });
    const faults = [1, 2, 3, 4, 5, 6, 7].map(fault);
    const kept = shorten(faults, {
      run: (fewer) => ({
        violation: [2, 6].every((at) => fewer.some((f) => f.at === at))
          ? "broken"
          : undefined,
        steps: 0,
        faults: new Map(),
        work: {},
      }),
      maxTrials: 100,
    });
    expect(kept.map((f) => f.at)).toEqual([2, 6]);
  });
});
