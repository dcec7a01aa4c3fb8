import { describe, expect, it } from "vitest";
import { type AssignableTarget, assignModels } from "./model_assignment.ts";

function target(
  id: string,
  versions: Readonly<Record<string, number>> = { a: 1, b: 1 },
): AssignableTarget {
  return { id, dataCentre: id[0], versions };
}

describe(assignModels.name, () => {
  function doTest(
    targets: readonly AssignableTarget[],
    newest: Readonly<Record<string, number>>,
    expected: Readonly<Record<string, readonly string[]>>,
    previous: Readonly<Record<string, string>> = {},
  ) {
    const assignment = assignModels({
      targets,
      newest: new Map(Object.entries(newest)),
      previous: new Map(Object.entries(previous)),
    });
    const sorted = [...assignment].map(([m, ids]) => [m, [...ids].sort()]);
    expect(Object.fromEntries(sorted)).toEqual(expected);
  }

  it("assigns targets equally and spreads them over data centres", () => {
    doTest(
      [target("x1"), target("x2"), target("y1"), target("y2")],
      { a: 2, b: 2 },
      { a: ["x1", "y1"], b: ["x2", "y2"] },
    );
  });

  it("keeps a target with the model that it has loaded", () => {
    doTest(
      [target("x1", { a: 1, b: 5 }), target("y1", { a: 4, b: 1 })],
      { a: 4, b: 5 },
      { a: ["y1"], b: ["x1"] },
    );
    doTest(
      [
        target("x1", { a: 1, b: 5 }),
        target("x2", { a: 1, b: 4 }),
        target("y1", { a: 4, b: 1 }),
      ],
      { a: 4, b: 5 },
      { a: ["y1"], b: ["x1", "x2"] },
    );
  });

  it("does not infer a model from its first version", () => {
    doTest(
      [target("x1", { a: 1, b: 1 }), target("y1", { a: 1, b: 1 })],
      { a: 2, b: 1 },
      { a: ["x1"], b: ["y1"] },
    );
    doTest(
      [target("x1", { a: 2, b: 1 }), target("y1", { a: 1, b: 1 })],
      { a: 3, b: 1 },
      { a: ["x1"], b: ["y1"] },
    );
  });

  it("keeps a previous assignment before anything is loaded", () => {
    doTest(
      [target("x1"), target("y1")],
      { a: 2, b: 2 },
      { a: ["y1"], b: ["x1"] },
      { x1: "b", y1: "a" },
    );
  });

  it("reassigns a target to a model without targets", () => {
    doTest(
      [
        target("x1", { a: 1, b: 5 }),
        target("x2", { a: 1, b: 5 }),
        target("x3", { a: 1, b: 5 }),
      ],
      { a: 4, b: 5 },
      { a: ["x3"], b: ["x1", "x2"] },
    );
  });

  it("assigns several models to a target if there are few targets", () => {
    doTest([target("x1")], { a: 2, b: 2 }, { a: ["x1"], b: ["x1"] });
  });

  it("assigns nothing without targets", () => {
    doTest([], { a: 2 }, { a: [] });
  });
});
