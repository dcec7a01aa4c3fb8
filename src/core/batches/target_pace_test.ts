import { describe, expect, it } from "vitest";
import { TargetPace } from "./target_pace.ts";

describe(TargetPace.name, () => {
  /** Records 20 events at a constant pace for each target. */
  function record(gaps: Readonly<Record<string, number>>): TargetPace {
    const pace = new TargetPace();
    for (const [target, gapMs] of Object.entries(gaps)) {
      for (let i = 0; i < 20; i += 1) pace.onEventGap(target, gapMs, 1_000 + i);
    }
    return pace;
  }

  function doTest(
    gaps: Readonly<Record<string, number>>,
    now: number,
    expected: readonly string[],
  ) {
    const pace = record(gaps);
    const slow = Object.keys(gaps).filter((id) => pace.isSlow(id, now));
    expect(slow).toEqual(expected);
  }

  it("detects a target that is much slower than the median", () =>
    doTest({ x: 40, y: 45, z: 160 }, 1_100, ["z"]));

  it("detects no slow target among similar ones", () =>
    doTest({ x: 40, y: 60, z: 70 }, 1_100, []));

  it("expires a pace that is no longer measured", () =>
    doTest({ x: 40, y: 45, z: 160 }, 9_000, []));

  it("doubles the backoff with each failure until a run completes", () => {
    const pace = new TargetPace().onFailure("x", 0).onFailure("x", 200);
    expect(pace.isAvoided("x", 500)).toBe(true);
    expect(pace.isAvoided("x", 700)).toBe(false);
    pace.onCompleted("x").onFailure("x", 1_000);
    expect(pace.isAvoided("x", 1_250)).toBe(false);
  });
});
