import { describe, expect, it } from "vitest";
import { tightenStaleness } from "./staleness_bound.ts";

type Bound = Parameters<typeof tightenStaleness>[0];

describe(tightenStaleness.name, () => {
  function doTest(requested: Bound, bound: Bound, expected: Bound) {
    expect(tightenStaleness(requested, bound)).toEqual(expected);
  }

  // Guards against a step that gets older weights than its model allows.
  it("takes the tighter of each, whoever names it", () =>
    doTest(
      { maxVersionsBehind: 3, maxAgeMs: 1_000 },
      { maxVersionsBehind: 1, maxAgeMs: 2_000 },
      { maxVersionsBehind: 1, maxAgeMs: 1_000 },
    ));

  it("takes the only age that is named", () =>
    doTest(
      { maxVersionsBehind: 0 },
      { maxVersionsBehind: 1, maxAgeMs: 2_000 },
      { maxVersionsBehind: 0, maxAgeMs: 2_000 },
    ));

  it("has no age if neither names one", () =>
    doTest(
      { maxVersionsBehind: 2 },
      { maxVersionsBehind: 2 },
      { maxVersionsBehind: 2, maxAgeMs: undefined },
    ));
});
