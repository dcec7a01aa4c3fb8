import { describe, expect, it } from "vitest";
import { LogRateLimiter } from "./log_rate_limiter.ts";

describe(LogRateLimiter.name, () => {
  function doTest(
    times: readonly number[],
    expected: { written: number; dropped: number },
  ) {
    const limiter = new LogRateLimiter({ linesPerS: 10, burst: 3 });
    const written = times.filter((at) => limiter.tryTake("a", at)).length;
    const dropped = limiter.takeDropped().get("a") ?? 0;
    expect({ written, dropped }).toEqual(expected);
  }

  it("allows a burst and counts the dropped lines", () => {
    doTest([0, 0, 0, 0, 0], { written: 3, dropped: 2 });
  });

  it("allows further lines at the sustained rate", () => {
    doTest([0, 0, 0, 0, 100, 100, 200], { written: 5, dropped: 2 });
  });

  it("limits and counts each event separately", () => {
    const limiter = new LogRateLimiter({ linesPerS: 1, burst: 1 });
    expect(limiter.tryTake("a", 0)).toBe(true);
    expect(limiter.tryTake("b", 0)).toBe(true);
    expect(limiter.tryTake("a", 0)).toBe(false);
    expect([...limiter.takeDropped()]).toEqual([["a", 1]]);
    expect(limiter.takeDropped().size).toBe(0);
  });
});
