import { describe, expect, it } from "vitest";
import { chooseRelays } from "./relay_choice.ts";

describe(chooseRelays.name, () => {
  function doTest(
    candidates: Readonly<Record<string, string>>,
    count: number,
    expected: readonly string[],
    mayRelay?: (dataCentre: string) => boolean,
  ) {
    const chosen = chooseRelays({
      candidates: Object.entries(candidates)
        .map(([id, dataCentre]) => ({ id, dataCentre })),
      dataCentre: "a",
      count,
      random: () => 0.999,
      ...(mayRelay === undefined ? {} : { mayRelay }),
    });
    expect(chosen).toEqual(expected);
  }

  it("takes the own data centre and others by turns", () =>
    doTest({ a1: "a", a2: "a", b1: "b", c1: "c" }, 4, [
      "a1",
      "b1",
      "a2",
      "c1",
    ]));

  it("takes others only if all of the own data centre is cut off", () =>
    doTest({ b1: "b", c1: "c" }, 3, ["b1", "c1"]));

  it("takes no more than asked for", () =>
    doTest({ a1: "a", a2: "a", a3: "a" }, 2, ["a1", "a2"]));

  // Guards against bodies that pass through a region not allowed to them.
  it("takes only those that may relay", () =>
    doTest({ a1: "a", b1: "b", c1: "c" }, 3, ["c1"], (id) => id === "c"));

  it("finds none where there is none", () => doTest({}, 2, []));
});
