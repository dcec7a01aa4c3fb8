import { describe, expect, it } from "vitest";
import { type Departure, Departures } from "./departures.ts";

describe(Departures.name, () => {
  const departure = { target: "t1", incarnation: 5, at: 1_000 };

  function doTest(
    recorded: readonly Departure[],
    [target, incarnation]: readonly [string, number],
    expected: boolean,
  ) {
    const departures = new Departures();
    for (const each of recorded) departures.record([each]);
    expect(departures.has(target, incarnation)).toBe(expected);
    const loaded = new Departures().load(departures.all);
    expect(loaded.has(target, incarnation)).toBe(expected);
  }

  it("has the incarnation that left and those before", () => {
    doTest([departure], ["t1", 5], true);
    doTest([departure], ["t1", 4], true);
    doTest([departure], ["t1", 6], false);
    doTest([departure], ["t2", 5], false);
  });

  it("keeps the latest incarnation", () => {
    const earlier = { ...departure, incarnation: 4 };
    doTest([departure, earlier], ["t1", 5], true);
  });

  it("forgets a departure once no report of it can arrive", () => {
    const later = (ms: number) => ({
      ...departure,
      target: "t2",
      at: 1_000 + ms,
    });
    doTest([departure, later(119_000)], ["t1", 5], true);
    doTest([departure, later(121_000)], ["t1", 5], false);
    doTest([departure, later(121_000)], ["t2", 5], true);
  });

  it("tells whether a departure is new", () => {
    const departures = new Departures();
    expect(departures.record([departure])).toBe(true);
    expect(departures.record([departure])).toBe(false);
    expect(departures.record([])).toBe(false);
  });
});
