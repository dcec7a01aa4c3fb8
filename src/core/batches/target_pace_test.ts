import { describe, expect, it } from "vitest";
import { TargetPace } from "./target_pace.ts";

describe(TargetPace.name, () => {
  /** Records a steady pace for some targets, up to a time. */
  function record(gaps: Readonly<Record<string, number>>): TargetPace {
    const pace = new TargetPace();
    for (const [target, gapMs] of Object.entries(gaps)) {
      for (let i = 0; i < 20; i += 1) pace.onGap(target, gapMs, 1_000 + i);
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

  it("finds the target that is much slower than most", () =>
    doTest({ x: 40, y: 45, z: 160 }, 1_100, ["z"]));

  it("finds none where all are alike", () =>
    doTest({ x: 40, y: 60, z: 70 }, 1_100, []));

  it("forgets a pace that was not seen again", () =>
    doTest({ x: 40, y: 45, z: 160 }, 9_000, []));

  it("avoids a target longer after each failure, until a whole run", () => {
    const pace = new TargetPace().onFailure("x", 0).onFailure("x", 200);
    expect(pace.isAvoided("x", 500)).toBe(true);
    expect(pace.isAvoided("x", 700)).toBe(false);
    pace.onWhole("x").onFailure("x", 1_000);
    expect(pace.isAvoided("x", 1_250)).toBe(false);
  });
});
