import { describe, expect, it } from "vitest";
import {
  placeItem,
  type PlacementInput,
  type PlacementTarget,
} from "./item_placement.ts";

function target(
  id: string,
  fields: Partial<PlacementTarget> = {},
): PlacementTarget {
  return {
    id,
    service: "s",
    software: "v1",
    isScarce: false,
    dataCentre: "a",
    slots: 4,
    inFlight: 0,
    version: 5,
    paceMs: 40,
    isSlow: false,
    isAvoided: false,
    isCold: false,
    ...fields,
  };
}

describe(placeItem.name, () => {
  function doTest(
    targets: readonly PlacementTarget[],
    fields: Partial<PlacementInput>,
    expected: string | undefined,
  ) {
    const chosen = placeItem({
      targets,
      minVersion: 4,
      written: undefined,
      versions: [],
      isSingleVersion: false,
      excluded: new Set(),
      warmTargets: new Set(),
      dataCentre: "a",
      ...fields,
    });
    expect(chosen?.id).toBe(expected);
  }

  it("selects the least loaded of equal targets", () =>
    doTest([target("x", { inFlight: 2 }), target("y")], {}, "y"));

  it("leaves the few requests of a cold target to items without a slot", () => {
    const cold = target("cold", { isCold: true });
    doTest([cold, target("warm")], {}, "warm");
    doTest([cold, target("full", { inFlight: 4 })], {}, "cold");
  });

  it("selects a faster target despite its higher load", () =>
    doTest(
      [
        target("x", { paceMs: 70 }),
        target("y", { paceMs: 40, inFlight: 2 }),
      ],
      {},
      "y",
    ));

  it("prefers a target that has the prompt cached", () =>
    doTest([target("x"), target("y")], { warmTargets: new Set(["y"]) }, "y"));

  it("prefers the local data centre", () =>
    doTest([target("x", { dataCentre: "b" }), target("y")], {}, "y"));

  it("selects no target that is full, avoided, slow or outdated", () =>
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

  it("uses an excluded target only if there is no other", () => {
    const excluded = new Set(["x"]);
    doTest([target("x"), target("y", { inFlight: 3 })], { excluded }, "y");
    doTest([target("x")], { excluded }, "x");
  });

  it("resumes on the same version if a single version is required", () =>
    doTest(
      [target("x", { version: 6 }), target("y", { inFlight: 3 })],
      { isSingleVersion: true, versions: [5] },
      "y",
    ));

  it("resumes on the software version that wrote the output", () =>
    doTest(
      [target("x", { software: "v2" }), target("y", { inFlight: 3 })],
      { written: { service: "s", software: "v1" } },
      "y",
    ));

  it("leaves targets of a scarce version to outputs that need them", () => {
    const targets = [
      target("x", { software: "v2", isScarce: true }),
      target("y", { inFlight: 1 }),
    ];
    doTest(targets, {}, "y");
    doTest(targets, { written: { service: "s", software: "v2" } }, "x");
  });
});
