import { describe, expect, it } from "vitest";
import { DrainRateMeter } from "./drain_rate_meter.ts";

describe(DrainRateMeter.name, () => {
  it("measures no rate from a burst of a few items", () => {
    const meter = new DrainRateMeter(0);
    for (let i = 0; i < 100; i += 1) meter.onAdded(200, 0);
    meter.onDequeued(200, 2_000);
    meter.onDequeued(200, 2_000);
    expect(meter.isStanding(2_000)).toBe(true);
    expect(meter.tokensPerMs(2_000)).toBeUndefined();
  });

  it("measures the drain rate of a standing queue", () => {
    const meter = new DrainRateMeter(0);
    for (let i = 0; i < 100; i += 1) meter.onAdded(10, 0);
    for (let now = 100; now <= 3_000; now += 100) meter.onDequeued(10, now);
    expect(meter.tokensPerMs(3_000)).toBeCloseTo(0.1, 2);
  });

  it("resets the rate when the queue becomes empty", () => {
    const meter = new DrainRateMeter(0);
    meter.onAdded(10, 0).onDequeued(10, 2_000);
    meter.onAdded(10, 2_100);
    expect(meter.isStanding(2_900)).toBe(false);
    expect(meter.queuedTokens).toBe(10);
  });
});
