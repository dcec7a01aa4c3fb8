import { describe, expect, it } from "vitest";
import {
  createPolicy,
  createRoute,
} from "../../../tests/support/policy_document.ts";
import type { FleetMember } from "../../core/fleet/mod.ts";
import { findRelays } from "./relay_directory.ts";
import type { FleetNode } from "./fleet_node.ts";

const REGIONS = { a: "north", b: "east", c: "west" };

describe(findRelays, () => {
  /** Finds relays, one in each data centre, for an instance in `a`. */
  function doTest(
    homes: readonly (readonly string[])[],
    expected: readonly string[],
  ) {
    const ids = ["asker", "a", "b", "c"];
    const dataCentreOf = (id: string) => id === "asker" ? "a" : id;
    const members = ids.map((id) => ({
      id,
      member: { dataCentre: dataCentreOf(id) } as FleetMember,
    }));
    const node = {
      settings: { regions: REGIONS },
      hub: {
        getPresence: (id: string) => ({
          ...members.find((k) => k.id === id),
          isDraining: false,
          isCutOff: false,
        }),
      },
      linkedMembers: () => members,
    } as unknown as FleetNode;
    const routes = homes.map((list) => createRoute({ homes: list }));
    const found = findRelays(node, "asker", {
      policy: createPolicy({ routes }),
      random: () => 0.999,
    });
    expect([...found].sort()).toEqual(expected);
  }

  it("finds relays anywhere while the policy has no homes", () =>
    doTest([[]], ["a", "b", "c"]));

  // Guards against bodies that pass through a region not allowed to them.
  it("finds none outside the homes of any route", () => {
    doTest([["east"]], ["a", "b"]);
    doTest([["east", "west"], ["west"]], ["a", "c"]);
    doTest([["east"], ["west"]], ["a"]);
  });
});
