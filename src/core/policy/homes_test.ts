import { describe, expect, it } from "vitest";
import {
  createPolicy,
  createRoute,
} from "../../../tests/support/policy_document.ts";
import { type Homes, homesOf } from "./homes.ts";
import { RegionMap } from "./region_map.ts";

describe(homesOf, () => {
  function doTest(
    route: readonly string[] | undefined,
    workspace: readonly string[] | undefined,
    expected: Homes,
  ) {
    const toOwner = (homes: readonly string[] | undefined) =>
      homes === undefined ? {} : { homes };
    expect(homesOf(toOwner(route), toOwner(workspace))).toEqual(expected);
  }

  it("allows any region without lists, or with empty ones", () => {
    doTest(undefined, undefined, undefined);
    doTest([], [], undefined);
  });

  it("takes the only list there is", () => {
    doTest(["north"], [], ["north"]);
    doTest(undefined, ["east"], ["east"]);
  });

  // Guards against a list of a workspace that widens that of the route.
  it("takes what both lists allow, which may be nothing", () => {
    doTest(["north", "east"], ["east", "west"], ["east"]);
    doTest(["north"], ["east"], []);
  });
});

describe(RegionMap.name, () => {
  const regions = { a: "north", b: "north", c: "east" };

  it("finds data centres in the homes", () => {
    const map = new RegionMap(regions);
    expect(["a", "b", "c"].map((id) => map.isWithin(id, ["north"])))
      .toEqual([true, true, false]);
    expect(map.isWithin("c", undefined)).toBe(true);
    expect(map.isWithin("a", [])).toBe(false);
  });

  // Guards against a request that leaves its homes for an unknown place.
  it("takes a data centre of unknown region for outside", () => {
    expect(new RegionMap(regions).isWithin("x", ["north"])).toBe(false);
    expect(new RegionMap(undefined).isWithin("a", ["north"])).toBe(false);
    expect(new RegionMap(undefined).isSameRegion("a", "a")).toBe(false);
  });

  it("reports the unknown regions of a policy, if regions are known", () => {
    const policy = createPolicy({
      routes: [createRoute({ homes: ["north", "moon"] })],
      workspaces: [{ name: "w", keys: [], priority: 0, homes: ["mars"] }],
    });
    expect(new RegionMap(regions).findFaults(policy))
      .toEqual(["Region moon is unknown", "Region mars is unknown"]);
    expect(new RegionMap(undefined).findFaults(policy)).toEqual([]);
  });
});
