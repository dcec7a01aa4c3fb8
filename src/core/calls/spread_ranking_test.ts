import { describe, expect, it } from "vitest";
import { LatencyTracker } from "./latency_tracker.ts";
import { type MeasuredTarget, rankSpread } from "./spread_ranking.ts";

describe(rankSpread.name, () => {
  function target(
    id: string,
    fields: Partial<MeasuredTarget> = {},
  ): MeasuredTarget {
    return {
      id,
      dataCentre: "a",
      inFlight: 0,
      latencyMs: 30,
      measuredMs: 100,
      isSuspect: false,
      isLimited: false,
      isScarce: false,
      ...fields,
    };
  }

  function doTest(
    targets: readonly MeasuredTarget[],
    draws: readonly number[],
    expected: { ids: string[]; isSpread: boolean },
  ) {
    const left = [...draws];
    const ranking = rankSpread({
      targets,
      dataCentre: "a",
      tried: new Set(["tried"]),
      random: () => left.shift()!,
    });
    const ids = ranking.targets.map(({ id }) => id);
    expect({ ids, isSpread: ranking.isSpread }).toEqual(expected);
  }

  it("lets chance decide between targets that measure about the same", () => {
    const targets = [target("a"), target("b", { measuredMs: 120 })];
    doTest(targets, [0.5, 0.5], { ids: ["a", "b"], isSpread: false });
    doTest(targets, [0.9, 0.1], { ids: ["b", "a"], isSpread: true });
  });

  it("keeps what counts against a target whatever is drawn", () =>
    doTest(
      [
        target("suspect", { isSuspect: true }),
        target("limited", { isLimited: true }),
        target("scarce", { isScarce: true }),
        target("slow", { measuredMs: 1_000 }),
        target("tried"),
        target("usual"),
      ],
      [0, 0, 0, 0, 0.999],
      {
        ids: ["usual", "scarce", "limited", "slow", "suspect"],
        isSpread: false,
      },
    ));

  it("assumes the median for a target without measurements", () =>
    doTest(
      [
        target("slow", { measuredMs: 400 }),
        target("new", { measuredMs: undefined }),
        target("fast", { measuredMs: 50 }),
        target("usual", { measuredMs: 200 }),
      ],
      [0.5, 0.6, 0.5, 0.5],
      { ids: ["fast", "usual", "new", "slow"], isSpread: false },
    ));
});

describe(LatencyTracker.name, () => {
  function doTest(
    ends: readonly { isFailure: boolean; isRefusal?: boolean }[],
    expectedMs: number,
  ) {
    const tracker = new LatencyTracker();
    for (const end of ends) {
      tracker.onSent("t").onEnded("t", { ...end, latencyMs: 1, now: 0 });
    }
    expect(tracker.isFailing("t", expectedMs - 1)).toBe(expectedMs > 0);
    expect(tracker.isFailing("t", expectedMs)).toBe(false);
  }

  const failure = { isFailure: true };

  it("avoids a target the longer the more often it failed in a row", () => {
    doTest([failure], 2_000);
    doTest([failure, failure], 4_000);
    doTest(Array.from({ length: 9 }, () => failure), 16_000);
    doTest([failure, failure, { isFailure: false }, failure], 2_000);
  });

  it("does not take a full target for a failing one", () =>
    doTest([{ isFailure: true, isRefusal: true }], 0));
});
