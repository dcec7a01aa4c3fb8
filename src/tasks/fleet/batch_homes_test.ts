import { describe, expect, it } from "vitest";
import { createReport } from "../../../tests/support/target_report.ts";
import { FleetRole, Roster } from "../../core/fleet/mod.ts";
import { type Homes, RegionMap } from "../../core/policy/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import { type RefusalError, RefusalReason } from "../../core/verdict/mod.ts";
import { BatchHomes } from "./batch_homes.ts";

const REGIONS = { a: "north", b: "east", c: "west" };

describe(BatchHomes.name, () => {
  /** Checks a batch at an instance in `a`; targets are in `b`. */
  function doTest(
    homes: Homes,
    ledgers: readonly string[],
    expected: RefusalReason | undefined,
  ) {
    const registry = new TargetRegistry(new RegionMap(REGIONS));
    registry.merge(createReport({ dataCentre: "b" }), 0);
    const roster = new Roster().mergeEntries(
      ledgers.map((dataCentre) => ({
        id: dataCentre,
        name: dataCentre,
        role: FleetRole.Ledger,
        dataCentre,
        leadsTerm: undefined,
      })),
      0,
    );
    const settings = { dataCentre: "a", regions: REGIONS } as never;
    const check = new BatchHomes({
      node: { settings, roster, now: 0 },
      registry,
    });
    let reason: RefusalReason | undefined;
    try {
      check.throwIfOutside({
        service: "s",
        ...(homes === undefined ? {} : { homes }),
      });
    } catch (err) {
      reason = (err as RefusalError).reason;
    }
    expect(reason).toBe(expected);
  }

  it("accepts a batch without homes", () =>
    doTest(undefined, ["c"], undefined));

  it("accepts ledger instances in a home and in the caller's region", () =>
    doTest(["east"], ["a", "b"], undefined));

  // Guards against bodies kept outside the homes by the ledger's log.
  it("refuses a batch if a ledger instance is elsewhere", () =>
    doTest(["east"], ["a", "b", "c"], RefusalReason.HomeUnavailable));

  it("refuses a batch without a target in its homes", () => {
    doTest(["north"], ["a"], RefusalReason.HomeUnavailable);
    doTest([], ["a"], RefusalReason.HomeUnavailable);
  });
});
