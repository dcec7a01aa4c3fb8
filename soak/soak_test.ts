import { describe, expect, it } from "vitest";
import { type DisabledGuards, RunKind, runOnce } from "./runs.ts";
import { shrink } from "./schedule.ts";

const CLEAN_SEEDS = Array.from({ length: 30 }, (_, i) => i + 1);
/** Maximum number of seeds tried until a disabled check causes a violation. */
const MAX_SEEDS = 150;

describe("randomised runs", () => {
  for (const kind of Object.values(RunKind)) {
    it(`violate no invariant of the ${kind}`, () => {
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

describe("runs with a disabled check", () => {
  function doTest(
    kind: RunKind,
    disabledGuards: DisabledGuards,
    expected: RegExp,
  ) {
    for (let seed = 1; seed <= MAX_SEEDS; seed += 1) {
      const { violation } = runOnce(kind, {
        seed,
        disabledGuards,
      });
      if (violation === undefined) continue;
      expect(violation).toMatch(expected);
      return seed;
    }
    return expect.fail(`No violation in ${MAX_SEEDS} seeds`);
  }

  it("detect two leases where voters ignore the lease of their leader", () => {
    doTest(
      RunKind.Control,
      { consensus: { leaderStickiness: false } },
      /hold leases|in charge/,
    );
  });

  it("detect outputs of two versions where the rule is not asked", () => {
    doTest(RunKind.Outputs, { outputs: { version: false } }, /has versions/);
  });

  it("detect outputs of two versions where targets name no incarnation", () => {
    doTest(
      RunKind.Outputs,
      { outputs: { incarnation: false } },
      /has versions/,
    );
  });

  it("detect streams of two versions where an unknown writer is guessed", () => {
    doTest(RunKind.Outputs, { outputs: { record: false } }, /has versions/);
  });

  it("detect lost commits where a replica without its disk keeps its name", () => {
    doTest(
      RunKind.Control,
      { consensus: { incarnationCheck: false } },
      /committedStays|differs|lead term|answered|oneLeaderPerTerm/,
    );
  });

  it("detect two active leaders where a new leader does not wait", () => {
    doTest(
      RunKind.Control,
      { orders: { waitsAfterTakeover: false } },
      /in charge|The platform got/,
    );
  });

  it("detect late orders where the lease is not checked", () => {
    doTest(
      RunKind.Control,
      { orders: { checksLease: false } },
      /in charge|The platform got/,
    );
  });

  it("detect lost records where the primary does not wait for backups", () => {
    doTest(
      RunKind.Ledger,
      { ledger: { waitsForBackups: false } },
      /differs|started at|committedStays/,
    );
  });

  it("detect two primaries where an old view is not refused", () => {
    doTest(
      RunKind.Ledger,
      { ledger: { refusesOldView: false } },
      /differs|started at|committedStays/,
    );
  });

  it("detect lost records where a new backup counts before it caught up", () => {
    doTest(
      RunKind.Ledger,
      { ledger: { joinerCaughtUp: false } },
      /differs|started at|committedStays/,
    );
  });
});

describe(shrink.name, () => {
  it("keeps only the faults that cause the violation", () => {
    const fault = (at: number) => ({
      kind: "crash" as const,
      at,
      forMs: 1,
      pick: 0,
    });
    const faults = [1, 2, 3, 4, 5, 6, 7].map(fault);
    const remaining = shrink(faults, {
      run: (fewer) => ({
        violation: [2, 6].every((at) => fewer.some((f) => f.at === at))
          ? "violation"
          : undefined,
        steps: 0,
        faults: new Map(),
        work: {},
      }),
      maxTrials: 100,
    });
    expect(remaining.map((f) => f.at)).toEqual([2, 6]);
  });
});
