import { describe, expect, it } from "vitest";
import { dueLoads } from "./due_loads.ts";

describe(dueLoads.name, () => {
  function doTest(
    versions: Readonly<Record<string, Readonly<Record<string, number>>>>,
    newest: Readonly<Record<string, number>>,
    expected: readonly string[],
  ) {
    const assignment = new Map(
      Object.entries(versions).map(([m, ids]) => [m, Object.keys(ids)]),
    );
    const due = dueLoads(assignment, {
      newest: new Map(Object.entries(newest)),
      versionOf: (id, model) => versions[model][id],
    });
    expect(due.map(({ id, model }) => `${model}:${id}`)).toEqual(expected);
  }

  it("returns nothing if all targets are up to date", () => {
    doTest({ a: { x: 3, y: 3 } }, { a: 3 }, []);
  });

  it("orders targets by how far they are behind", () => {
    doTest({ a: { x: 2, y: 1 } }, { a: 3 }, ["a:y", "a:x"]);
  });

  it("prefers the model that is furthest behind", () => {
    doTest(
      { a: { x: 5, y: 4 }, b: { z: 2, w: 1 } },
      { a: 5, b: 5 },
      ["b:w", "b:z", "a:y"],
    );
  });

  it("prefers the model with fewer up-to-date targets", () => {
    doTest(
      { a: { x: 3, y: 3, z: 2 }, b: { u: 3, v: 2 } },
      { a: 3, b: 3 },
      ["b:v", "a:z"],
    );
  });
});
