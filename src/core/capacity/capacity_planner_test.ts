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
const SPOT: ZoneState = {
  ...LASTING,
  id: "spot",
  isLasting: false,
  pricePerHour: 1,
  limit: 20,
};

function createInput(change: {
  tokensPerSecond?: number;
  nonRepeatableShare?: number;
  spot?: Partial<ZoneState>;
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
    zones: [LASTING, { ...SPOT, ...change.spot }],
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
      spot: 9,
    });
    expect(countsOf(planner, createInput({ spot: { targets: 9, ready: 9 } })))
      .toEqual({ lasting: 1, spot: 9 });
  });

  it("plans lasting targets for non-idempotent demand", () => {
    const spot = { targets: 4, ready: 4 };
    const input = createInput({ nonRepeatableShare: 0.6, spot });
    expect(countsOf(new CapacityPlanner(), input))
      .toEqual({ lasting: 6, spot: 4 });
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
    planner.onUnavailable("spot", 0);
    expect(countsOf(planner, createInput({ now: 1_000 })).spot).toBe(0);
    expect(countsOf(planner, createInput({ now: 40_000 })).spot).toBe(9);
    for (let i = 0; i < 20; i += 1) planner.onReclaimed("spot", 40_000);
    expect(countsOf(planner, createInput({ now: 90_000 })).spot).toBe(3);
  });
});
