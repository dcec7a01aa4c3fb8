import { describe, expect, it } from "vitest";
import { type CapacityTarget, ServiceTargets } from "./service_targets.ts";

/** A target of one token per event and millisecond with full slots. */
const target: CapacityTarget = {
  id: "a1",
  service: "s",
  dataCentre: "a",
  slots: 12,
  paceMs: 10,
  isPaceKnown: true,
};

describe(ServiceTargets.name, () => {
  function doTest(
    options: { isOtherLeft?: boolean; now: number; homes?: string },
    expected: { slots: number; startable: number } | undefined,
  ) {
    const targets = new ServiceTargets()
      .onSeen([target, { ...target, id: "b1", dataCentre: "b" }], 0);
    const { isOtherLeft, now, homes } = options;
    if (isOtherLeft) targets.onSeen([target], now);
    const capacity = targets.capacityOf("s", {
      tokensPerEvent: 1,
      isAllowed: (dataCentre) => homes === undefined || dataCentre === homes,
      limits: { maxTargets: 3, bootMs: 2_000 },
      now,
    });
    expect(
      capacity && {
        slots: capacity.slots,
        startable: Math.round(capacity.startableTokensPerMs),
      },
    ).toEqual(expected);
    if (capacity === undefined) return;
    expect(capacity.tokensPerMs).toBeCloseTo(capacity.slots / 12, 6);
  }

  it("counts targets that are lost while others are left", () =>
    doTest({ now: 50_000, isOtherLeft: true }, { slots: 24, startable: 1 }));

  it("removes targets that stay lost", () =>
    doTest({ now: 61_000, isOtherLeft: true }, { slots: 12, startable: 2 }));

  it("counts those that can start once all are lost for long", () => {
    doTest({ now: 9_000 }, { slots: 24, startable: 1 });
    doTest({ now: 11_000 }, { slots: 0, startable: 3 });
  });

  it("infers no capacity from targets whose paces are not measured", () => {
    const targets = new ServiceTargets()
      .onSeen([{ ...target, isPaceKnown: false }], 0);
    expect(targets.capacityOf("s", {
      tokensPerEvent: 1,
      isAllowed: () => true,
      limits: undefined,
      now: 0,
    })).toBeUndefined();
  });

  it("counts the targets in the homes of a batch alone", () =>
    doTest({ now: 0, homes: "b" }, { slots: 12, startable: 2 }));
});
