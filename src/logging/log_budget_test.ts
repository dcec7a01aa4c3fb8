import { describe, expect, it } from "vitest";
import { LogBudget } from "./log_budget.ts";

describe(LogBudget.name, () => {
  function doTest(
    times: readonly number[],
    expected: { written: number; dropped: number },
  ) {
    const budget = new LogBudget({ linesPerS: 10, burst: 3 });
    const written = times.filter((at) => budget.take("a", at)).length;
    const dropped = budget.takeDropped().get("a") ?? 0;
    expect({ written, dropped }).toEqual(expected);
  }

  it("lets a burst through and counts the rest", () => {
    doTest([0, 0, 0, 0, 0], { written: 3, dropped: 2 });
  });

  it("lets lines through again at its rate", () => {
    doTest([0, 0, 0, 0, 100, 100, 200], { written: 5, dropped: 2 });
  });

  it("counts each event by itself", () => {
    const budget = new LogBudget({ linesPerS: 1, burst: 1 });
    expect(budget.take("a", 0)).toBe(true);
    expect(budget.take("b", 0)).toBe(true);
    expect(budget.take("a", 0)).toBe(false);
    expect([...budget.takeDropped()]).toEqual([["a", 1]]);
    expect(budget.takeDropped().size).toBe(0);
  });
});
