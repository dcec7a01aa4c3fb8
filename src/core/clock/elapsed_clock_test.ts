import { describe, expect, it } from "vitest";
import { ElapsedClock } from "./elapsed_clock.ts";

describe(ElapsedClock.name, () => {
  function doTest(
    steps: readonly { steady: number; wall: number }[],
    expected: number,
  ) {
    const at = { steady: 100, wall: 1_000_000 };
    const clock = new ElapsedClock({
      steady: () => at.steady,
      wall: () => at.wall,
    });
    for (const step of steps) {
      at.steady += step.steady;
      at.wall += step.wall;
      clock.now();
    }
    expect(clock.now()).toBe(expected);
  }

  it("counts what both clocks say", () => {
    doTest([{ steady: 10, wall: 10 }, { steady: 5, wall: 5 }], 15);
  });

  it("counts a suspension, which only the wall clock sees", () => {
    doTest([{ steady: 0, wall: 4_000 }], 4_000);
  });

  it("counts on while the wall clock jumps back", () => {
    doTest([{ steady: 20, wall: -5_000 }, { steady: 10, wall: 10 }], 30);
  });

  it("takes a jump ahead as elapsed time", () => {
    doTest([{ steady: 1, wall: 2_000 }], 2_000);
  });
});
