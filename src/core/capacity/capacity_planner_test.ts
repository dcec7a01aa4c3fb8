import { describe, expect, it } from "vitest";
import {
  type CapacityInput,
  CapacityPlanner,
  type ZoneState,
} from "./capacity_planner.ts";

const LASTING: ZoneState = {
  id: "lasting",
  isLasting: true,
  pricePerHour: 4,
  targets: 0,
  ready: 0,
  limit: 40,
};
const CHEAP: ZoneState = {
  ...LASTING,
  id: "cheap",
  isLasting: false,
  pricePerHour: 1,
  limit: 20,
};

function createInput(change: {
  tokensPerSecond?: number;
  nonRepeatableShare?: number;
  cheap?: Partial<ZoneState>;
  now?: number;
}): CapacityInput {
  return {
    demand: {
      tokensPerSecond: change.tokensPerSecond ?? 10_000,
      queuedTokens: 0,
      slackSeconds: 240,
      startSeconds: 120,
      nonRepeatableShare: change.nonRepeatableShare ?? 0,
      targetTokensPerSecond: 1_000,
    },
    limits: { minTargets: 2, maxTargets: 60 },
    zones: [LASTING, { ...CHEAP, ...change.cheap }],
    now: change.now ?? 0,
  };
}

function countsOf(planner: CapacityPlanner, input: CapacityInput) {
  return Object.fromEntries(
    planner.plan(input).map(({ zone, targets }) => [zone, targets]),
  );
}

describe(CapacityPlanner.name, () => {
  it("replaces lasting targets only by running spot targets", () => {
    const planner = new CapacityPlanner();
    expect(countsOf(planner, createInput({}))).toEqual({
      lasting: 10,
      cheap: 9,
    });
    expect(countsOf(planner, createInput({ cheap: { targets: 9, ready: 9 } })))
      .toEqual({ lasting: 1, cheap: 9 });
  });

  it("plans lasting targets for non-idempotent demand", () => {
    const cheap = { targets: 4, ready: 4 };
    const input = createInput({ nonRepeatableShare: 0.6, cheap });
    expect(countsOf(new CapacityPlanner(), input))
      .toEqual({ lasting: 6, cheap: 4 });
  });

  it("delays scaling down", () => {
    const planner = new CapacityPlanner();
    planner.plan(createInput({ tokensPerSecond: 20_000 }));
    const soon = countsOf(planner, createInput({ now: 30_000 }));
    expect(soon.lasting).toBe(20);
    const later = countsOf(planner, createInput({ now: 60_000 }));
    expect(later.lasting).toBe(10);
  });

  it("backs off from an exhausted zone and reduces spot after reclaims", () => {
    const planner = new CapacityPlanner();
    planner.onUnavailable("cheap", 0);
    expect(countsOf(planner, createInput({ now: 1_000 })).cheap).toBe(0);
    expect(countsOf(planner, createInput({ now: 40_000 })).cheap).toBe(9);
    for (let i = 0; i < 20; i += 1) planner.onReclaimed("cheap", 40_000);
    expect(countsOf(planner, createInput({ now: 90_000 })).cheap).toBe(3);
  });
});
