import { describe, expect, it } from "vitest";
import { planSwaps, type SwapTarget } from "./swap_planner.ts";

describe(planSwaps.name, () => {
  function target(id: string, change: Partial<SwapTarget> = {}): SwapTarget {
    return {
      id,
      version: 1,
      isSwapping: false,
      isServing: true,
      inFlight: 0,
      notBefore: 0,
      ...change,
    };
  }

  function doTest(
    targets: SwapTarget[],
    expected: string[],
    options: { maxSwapShare?: number; maxFetches?: number } = {},
  ) {
    expect(planSwaps({
      targets,
      newest: 3,
      maxSwapShare: 0.5,
      maxFetches: 10,
      now: 100,
      ...options,
    })).toEqual(expected);
  }

  it("orders targets by oldest weights, then by least load", () =>
    doTest(
      [
        target("a", { version: 2 }),
        target("b", { inFlight: 5 }),
        target("c", { inFlight: 1 }),
        target("d", { version: 3 }),
      ],
      ["c", "b"],
    ));

  it("limits the share of targets that load at once", () =>
    doTest(
      [target("a", { isSwapping: true, isServing: false }), target("b")],
      [],
    ));

  it("limits concurrent fetches from the store", () =>
    doTest([target("a"), target("b"), target("c"), target("d")], ["a"], {
      maxFetches: 1,
    }));

  it("swaps even the only target", () => doTest([target("a")], ["a"]));

  it("delays a target after a failed swap", () =>
    doTest([target("a", { notBefore: 101 }), target("b")], ["b"]));
});
