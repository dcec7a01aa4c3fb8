import { describe, expect, it } from "vitest";
import {
  placeItem,
  type PlacementQuestion,
  type PlacementTarget,
} from "./item_placement.ts";

function target(
  id: string,
  fields: Partial<PlacementTarget> = {},
): PlacementTarget {
  return {
    id,
    dataCentre: "a",
    slots: 4,
    inFlight: 0,
    version: 5,
    paceMs: 40,
    isSlow: false,
    isAvoided: false,
    ...fields,
  };
}

describe(placeItem.name, () => {
  function doTest(
    targets: readonly PlacementTarget[],
    fields: Partial<PlacementQuestion>,
    expected: string | undefined,
  ) {
    const chosen = placeItem({
      targets,
      minVersion: 4,
      versions: [],
      isSingleVersion: false,
      excluded: new Set(),
      warm: new Set(),
      dataCentre: "a",
      ...fields,
    });
    expect(chosen?.id).toBe(expected);
  }

  it("takes the emptiest of equal targets", () =>
    doTest([target("x", { inFlight: 2 }), target("y")], {}, "y"));

  it("takes a faster target although it is fuller", () =>
    doTest(
      [
        target("x", { paceMs: 70 }),
        target("y", { paceMs: 40, inFlight: 2 }),
      ],
      {},
      "y",
    ));

  it("keeps a group where its prompt is", () =>
    doTest([target("x"), target("y")], { warm: new Set(["y"]) }, "y"));

  it("prefers its own data centre", () =>
    doTest([target("x", { dataCentre: "b" }), target("y")], {}, "y"));

  it("takes none that is full, avoided, slow or too old", () =>
    doTest(
      [
        target("full", { inFlight: 4 }),
        target("avoided", { isAvoided: true }),
        target("slow", { isSlow: true }),
        target("old", { version: 3 }),
        target("unknown", { version: undefined }),
      ],
      {},
      undefined,
    ));

  it("leaves the target where the last run broke, if it can", () => {
    const excluded = new Set(["x"]);
    doTest([target("x"), target("y", { inFlight: 3 })], { excluded }, "y");
    doTest([target("x")], { excluded }, "x");
  });

  it("goes on under the same version where one must make it all", () =>
    doTest(
      [target("x", { version: 6 }), target("y", { inFlight: 3 })],
      { isSingleVersion: true, versions: [5] },
      "y",
    ));
});
