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
  return { id, price: 1, present: 1, isDry: false, ...fields };
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

  it("keeps the fewest where nothing is asked for", () => {
    doTest({}, { a: 1, b: 1 });
  });

  it("leaves half of the slots free, spread over data centres", () => {
    doTest({ meanItems: 30 }, { a: 3, b: 3 });
  });

  it("has slots for all items of a wave at once", () => {
    doTest({ meanItems: 20, peakItems: 60 }, { a: 3, b: 3 });
  });

  it("orders nothing for a backlog beyond that", () => {
    doTest({ meanItems: 10, peakItems: 200 }, { a: 2, b: 2 });
  });

  it("orders more where it is cheaper", () => {
    const zones = [zone("a", { price: 2 }), zone("b")];
    doTest({ meanItems: 25, zones }, { a: 1, b: 4 });
  });

  it("never goes beyond the limits", () => {
    doTest({ meanItems: 1_000 }, { a: 4, b: 4 });
  });

  it("asks nothing more of a data centre that has none", () => {
    const zones = [zone("a", { isDry: true, present: 2 }), zone("b")];
    doTest({ meanItems: 1_000, zones }, { a: 2, b: 4 });
  });
});
