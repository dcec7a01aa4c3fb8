import { describe, expect, it } from "vitest";
import { ProcessLag } from "./process_lag.ts";

const TICK_MS = 50;

describe(ProcessLag.name, () => {
  /** Checks which times count after ticks at the given times. */
  function doTest(
    ticks: readonly number[],
    span: { from: number; now: number },
    expected: boolean,
  ) {
    const lag = new ProcessLag(TICK_MS);
    for (const now of ticks) lag.onTick(now);
    expect(lag.isMeasured(span.from, span.now)).toBe(expected);
  }

  it("counts gaps while ticks come in time", () =>
    doTest([0, 50, 110], { from: 20, now: 130 }, true));

  // Failure: events are read before the late tick in the same turn.
  it("counts no gap that ends while a tick is overdue", () =>
    doTest([0, 50], { from: 340, now: 350 }, false));

  it("counts no gap in which a tick came late", () =>
    doTest([0, 50, 350, 400, 450], { from: 60, now: 455 }, false));

  // Failure: events that waited come together, as if a target were fast.
  it("counts no gap of the events that waited to be read", () =>
    doTest([0, 50, 350], { from: 360, now: 361 }, false));

  it("counts gaps again once ticks come in time", () =>
    doTest([0, 50, 350, 400], { from: 405, now: 420 }, true));
});
