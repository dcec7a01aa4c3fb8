import { describe, expect, it } from "vitest";
import { drainMsOf, type FullTarget } from "./drain_time.ts";

describe(drainMsOf.name, () => {
  function doTest(targets: readonly FullTarget[], expected?: number) {
    const ms = drainMsOf(targets);
    if (expected === undefined) expect(ms).toBeUndefined();
    else expect(ms).toBeCloseTo(expected, 6);
  }

  it("is the latency of equal targets", () =>
    doTest(
      [{ slots: 4, measuredMs: 500 }, { slots: 8, measuredMs: 500 }],
      500,
    ));

  it("counts fast targets for what they complete", () =>
    doTest(
      [{ slots: 2, measuredMs: 100 }, { slots: 2, measuredMs: 300 }],
      150,
    ));

  it("is not known from targets without measurements", () => {
    doTest([]);
    doTest([{ slots: 4, measuredMs: undefined }]);
    doTest(
      [{ slots: 4, measuredMs: undefined }, { slots: 4, measuredMs: 700 }],
      700,
    );
  });
});
