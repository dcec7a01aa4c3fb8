import { describe, expect, it } from "vitest";
import {
  placeItem,
  type PlacementInput,
  PlacementReason,
} from "./item_placement.ts";
import type { PlacementTarget } from "./target_ranking.ts";

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
    isDegraded: false,
    isAvoided: false,
    isCold: false,
    ...fields,
  };
}

const RUN = {
  remainingEvents: 20,
  uncachedPromptEvents: 10,
  cachedPromptEvents: 1,
  meanRunEvents: 20,
};

describe(placeItem.name, () => {
  function place(
    targets: readonly PlacementTarget[],
    fields: Partial<PlacementInput>,
  ) {
    return placeItem({
      targets,
      minVersion: 4,
      written: undefined,
      versions: [],
      isSingleVersion: false,
      excluded: new Set(),
      cachingTargets: new Set(),
      dataCentre: "a",
      run: RUN,
      dueInMs: 6_000,
      heldItems: 0,
      heldForPrompt: undefined,
      ...fields,
    });
  }

  function doTest(
    targets: readonly PlacementTarget[],
    fields: Partial<PlacementInput>,
    expected: string | undefined,
  ) {
    const { placement } = place(targets, fields);
    expect(placement?.target.id).toBe(expected);
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
    doTest(
      [target("x"), target("y")],
      { cachingTargets: new Set(["y"]) },
      "y",
    ));

  it("reads the prompt again where the item then ends earlier", () =>
    doTest(
      [target("x", { paceMs: 14 }), target("y", { paceMs: 34 })],
      { cachingTargets: new Set(["y"]) },
      "x",
    ));

  it("waits for a target with the prompt if the item then ends earlier", () => {
    const targets = [target("x", { inFlight: 4 }), target("y")];
    const cachingTargets = new Set(["x"]);
    const run = { ...RUN, uncachedPromptEvents: 20, meanRunEvents: 8 };
    const fields = { cachingTargets, run };
    doTest(targets, { ...fields, heldForPrompt: 0 }, undefined);
    doTest(targets, { ...fields, heldForPrompt: 4 }, "y");
    doTest(targets, fields, "y");
  });

  it("uses a slow target if no faster one has a free slot", () =>
    doTest(
      [target("x", { inFlight: 4 }), target("y", { paceMs: 80 })],
      {},
      "y",
    ));

  it("waits for a faster target if the item is late at the free ones", () => {
    const targets = [
      target("x", { inFlight: 4 }),
      target("y", { paceMs: 100 }),
    ];
    const result = place(targets, { dueInMs: 3_000 });
    expect(result).toEqual({ placement: undefined, isHeld: true });
  });

  it("does not wait behind many others, or if it may not", () => {
    const targets = [
      target("x", { inFlight: 4 }),
      target("y", { paceMs: 100 }),
    ];
    doTest(targets, { dueInMs: 3_000, heldItems: 10 }, "y");
    doTest(targets, { dueInMs: 3_000, heldItems: undefined }, "y");
  });

  it("uses a degraded target only if no other ends the item earlier", () => {
    const degraded = target("x", { paceMs: 200, isDegraded: true });
    doTest([degraded, target("y", { inFlight: 3 })], {}, "y");
    doTest([degraded, target("y", { inFlight: 4 })], {}, undefined);
    const { placement } = place([degraded], {});
    expect(placement?.reason).toBe(PlacementReason.Degraded);
  });

  it("prefers the local data centre if little time is lost", () => {
    const remote = target("x", { dataCentre: "b" });
    const local = target("y", { inFlight: 1 });
    doTest([remote, local], {}, "y");
    doTest([remote, local], { dueInMs: 1_000 }, "x");
    doTest([remote, target("y", { paceMs: 70 })], {}, "x");
  });

  it("selects no target that is full, avoided or outdated", () =>
    doTest(
      [
        target("full", { inFlight: 4 }),
        target("avoided", { isAvoided: true }),
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
