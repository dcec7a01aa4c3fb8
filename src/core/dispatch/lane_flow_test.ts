import { describe, expect, it } from "vitest";
import { LaneFlow } from "./lane_flow.ts";

describe(LaneFlow.name, () => {
  it("tells no flow from a burst of a few answers", () => {
    const flow = new LaneFlow(0);
    for (let i = 0; i < 100; i += 1) flow.onAdded(200, 0);
    flow.onTaken(200, 2_000);
    flow.onTaken(200, 2_000);
    expect(flow.isStanding(2_000)).toBe(true);
    expect(flow.tokensPerMs(2_000)).toBeUndefined();
  });

  it("tells the flow of a standing queue", () => {
    const flow = new LaneFlow(0);
    for (let i = 0; i < 100; i += 1) flow.onAdded(10, 0);
    for (let now = 100; now <= 3_000; now += 100) flow.onTaken(10, now);
    expect(flow.tokensPerMs(3_000)).toBeCloseTo(0.1, 2);
  });

  it("forgets the flow when the queue was empty", () => {
    const flow = new LaneFlow(0);
    flow.onAdded(10, 0).onTaken(10, 2_000);
    flow.onAdded(10, 2_100);
    expect(flow.isStanding(2_900)).toBe(false);
    expect(flow.queuedTokens).toBe(10);
  });
});
