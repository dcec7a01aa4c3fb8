import { describe, expect, it } from "vitest";
import { expectedStayMs, mayMoveRun } from "./run_move.ts";

describe(mayMoveRun.name, () => {
  function doTest(stayMs: number, moveMs: number, expected: boolean) {
    expect(mayMoveRun({ stayMs, moveMs })).toBe(expected);
  }

  it("moves a run that ends far earlier elsewhere", () =>
    doTest(2_000, 600, true));

  it("does not cut a run that is nearly complete", () =>
    doTest(250, 100, false));

  it("does not cut a long run for a small share of its time", () =>
    doTest(4_000, 3_200, false));
});

describe(expectedStayMs.name, () => {
  function doTest(remainingEvents: number, expectedMs: number) {
    const input = { remainingEvents, recentMs: 200, inherentMs: 20 };
    expect(expectedStayMs(input)).toBeCloseTo(expectedMs);
  }

  it("expects a short run to end at the pace of now", () => doTest(10, 2_000));

  it("expects the target of a long run to recover", () => doTest(125, 7_000));
});
