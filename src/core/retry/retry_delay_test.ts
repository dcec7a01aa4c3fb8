import { describe, expect, it } from "vitest";
import { spreadRetryAfterMs } from "./retry_delay.ts";

describe(spreadRetryAfterMs.name, () => {
  function doTest(waitMs: number, [min, max]: readonly [number, number]) {
    const delays = Array.from(
      { length: 200 },
      (_, i) => spreadRetryAfterMs(waitMs, `batch-${i}`),
    );
    for (const delay of delays) {
      expect(delay).toBeGreaterThanOrEqual(min);
      expect(delay).toBeLessThanOrEqual(max);
    }
    // Callers refused at the same time must not return at the same time.
    const tenths = new Set(
      delays.map((delay) => Math.floor(10 * (delay - min) / (max - min))),
    );
    expect(tenths.size).toBeGreaterThanOrEqual(9);
  }

  it("lengthens a delay by up to a quarter", () =>
    doTest(2_000, [2_000, 2_500]));
  it("bounds short delays", () => doTest(1, [300, 375]));
  it("bounds and spreads long delays", () => doTest(Infinity, [8_000, 10_000]));
});
