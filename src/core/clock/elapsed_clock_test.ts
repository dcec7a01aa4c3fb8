import { describe, expect, it } from "vitest";
import { ElapsedClock } from "./elapsed_clock.ts";

describe(ElapsedClock.name, () => {
  function doTest(
    steps: readonly { steady: number; wall: number }[],
    expected: number,
  ) {
    const current = { steady: 100, wall: 1_000_000 };
    const clock = new ElapsedClock({
      monotonic: () => current.steady,
      wall: () => current.wall,
    });
    for (const step of steps) {
      current.steady += step.steady;
      current.wall += step.wall;
      clock.now();
    }
    expect(clock.now()).toBe(expected);
  }

  it("counts the time measured by both clocks", () => {
    doTest([{ steady: 10, wall: 10 }, { steady: 5, wall: 5 }], 15);
  });

  it("counts a suspension, which only the wall clock measures", () => {
    doTest([{ steady: 0, wall: 4_000 }], 4_000);
  });

  it("keeps advancing when the wall clock jumps backwards", () => {
    doTest([{ steady: 20, wall: -5_000 }, { steady: 10, wall: 10 }], 30);
  });

  it("counts a forward jump of the wall clock as elapsed time", () => {
    doTest([{ steady: 1, wall: 2_000 }], 2_000);
  });
});
