import { describe, expect, it } from "vitest";
import { POLICIES } from "./policies.ts";
import { SCENARIOS } from "./scenarios/mod.ts";

describe("scenarios", () => {
  function doTest(name: string, seed: number) {
    const { figures, violations } = SCENARIOS[name].run(
      seed,
      POLICIES.product,
    );
    expect(violations).toEqual([]);
    return figures;
  }

  it("lose at most three targets to a request that crashes targets", () => {
    expect(doTest("poison", 3).targetsLost).toBeLessThanOrEqual(3);
  });

  it("deliver every sample through reclaims and crashes", () => {
    expect(doTest("reclaim", 2).delivered).toBe(2_560);
    expect(doTest("engine-crash", 2).delivered).toBe(2_560);
  });

  it("keep within capacity and staleness bounds during weight swaps", () => {
    const figures = doTest("weight-swap", 2);
    expect(figures.leastCapacityPercent).toBeGreaterThanOrEqual(70);
  });

  it("give the same figures for the same seed", () => {
    expect(doTest("stragglers", 4)).toEqual(doTest("stragglers", 4));
  });
});
