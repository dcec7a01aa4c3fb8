import { describe, expect, it } from "vitest";
import {
  type DataCentreState,
  planSlots,
  type SlotPlanInput,
} from "./slot_planner.ts";

function zone(
  id: string,
  fields: Partial<DataCentreState> = {},
): DataCentreState {
  return {
    id,
    price: 1,
    present: 1,
    isExhausted: false,
    isEvacuated: false,
    ...fields,
  };
}

describe(planSlots.name, () => {
  function doTest(
    fields: Partial<SlotPlanInput>,
    expected: Readonly<Record<string, number>>,
  ) {
    const counts = planSlots({
      meanItems: 0,
      peakItems: 0,
      slots: 10,
      zones: [zone("a"), zone("b")],
      min: 1,
      max: 4,
      ...fields,
    });
    expect(Object.fromEntries(counts)).toEqual(expected);
  }

  it("plans the minimum without demand", () => {
    doTest({}, { a: 1, b: 1 });
  });

  it("plans twice the mean demand, spread over data centres", () => {
    doTest({ meanItems: 30 }, { a: 3, b: 3 });
  });

  it("plans slots for all items of a burst", () => {
    doTest({ meanItems: 20, peakItems: 60 }, { a: 3, b: 3 });
  });

  it("ignores a backlog beyond the maximum headroom", () => {
    doTest({ meanItems: 10, peakItems: 200 }, { a: 2, b: 2 });
  });

  it("plans more targets in cheaper data centres", () => {
    const zones = [zone("a", { price: 2 }), zone("b")];
    doTest({ meanItems: 25, zones }, { a: 1, b: 4 });
  });

  it("stays within the maximum", () => {
    doTest({ meanItems: 1_000 }, { a: 4, b: 4 });
  });

  it("plans no additional targets in an exhausted data centre", () => {
    const zones = [zone("a", { isExhausted: true, present: 2 }), zone("b")];
    doTest({ meanItems: 1_000, zones }, { a: 2, b: 4 });
  });

  // Guards against targets that are ordered where nothing may be sent to them.
  it("plans an evacuated data centre's share elsewhere", () => {
    const zones = [
      zone("a", { isEvacuated: true, present: 3 }),
      zone("b"),
      zone("c"),
    ];
    doTest({ meanItems: 30, zones }, { b: 3, c: 3 });
  });

  // Guards against replacements beyond what a data centre may have.
  it("plans no more than the maximum for evacuated data centres", () => {
    const zones = [zone("a", { isEvacuated: true }), zone("b")];
    doTest({ meanItems: 1_000, zones }, { b: 4 });
  });

  it("keeps up the minimum of evacuated data centres elsewhere", () => {
    const zones = [zone("a", { isEvacuated: true }), zone("b"), zone("c")];
    doTest({ min: 2, zones }, { b: 3, c: 3 });
  });

  it("plans nothing if all data centres are evacuated", () => {
    doTest({ meanItems: 30, zones: [zone("a", { isEvacuated: true })] }, {});
  });
});
