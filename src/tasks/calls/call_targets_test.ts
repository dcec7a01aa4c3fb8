import { describe, expect, it } from "vitest";
import { createRoute } from "../../../tests/support/policy_document.ts";
import { createReport } from "../../../tests/support/target_report.ts";
import { LatencyTracker } from "../../core/calls/mod.ts";
import { type Homes, RegionMap } from "../../core/policy/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { CallTargets } from "./call_targets.ts";

const REGIONS = { a: "north", b: "east" };
const LEFT_MS = 1_000;

describe(CallTargets.name, () => {
  /** Gets the targets of all attempts, of one in each of two data centres. */
  async function doTest(
    options: {
      readonly homes?: Homes;
      readonly evacuated?: readonly string[];
      /** Data centres whose evacuation begins while a permit is waited for. */
      readonly evacuatedLater?: readonly string[];
    },
    expected: { readonly tried: readonly string[]; readonly outside: boolean },
  ) {
    const registry = new TargetRegistry(new RegionMap(REGIONS))
      .setEvacuated(new Set(options.evacuated));
    for (const dataCentre of ["a", "b"]) {
      const fields = { id: dataCentre, address: dataCentre, dataCentre };
      registry.merge(createReport(fields), 0);
    }
    const targets = new CallTargets({
      registry,
      latencies: new LatencyTracker(),
      rates: {
        isLimited: () => options.evacuatedLater !== undefined,
        acquire: ([target]) => {
          registry.setEvacuated(new Set(options.evacuatedLater));
          const permit = { target, afterMs: 0 };
          return Promise.resolve({ permit, retryAfterMs: 0 });
        },
      },
      dataCentre: "a",
      metrics: new Metrics({ tags: {} }),
      homes: options.homes,
      route: createRoute(),
      call: "c",
      written: () => undefined,
      hasHead: () => false,
    });
    const tried: string[] = [];
    let target = await targets.next(LEFT_MS);
    while (target !== undefined) {
      tried.push(target.id);
      targets.markTried(target);
      target = await targets.next(LEFT_MS);
    }
    expect({ tried, outside: targets.isOutsideHomes }).toEqual(expected);
  }

  it("tries targets of all data centres without homes", () =>
    doTest({}, { tried: ["a", "b"], outside: false }));

  // Guards against a call, its retry or hedge outside its homes.
  it("tries targets in the homes of the call only", () =>
    doTest({ homes: ["east"] }, { tried: ["b"], outside: false }));

  it("tries none if no target is in the homes", () =>
    doTest({ homes: ["west"] }, { tried: [], outside: true }));

  it("tries none if the homes are evacuated", () =>
    doTest({ homes: ["east"], evacuated: ["b"] }, {
      tried: [],
      outside: true,
    }));

  it("tries no target of an evacuated data centre", () =>
    doTest({ evacuated: ["a"] }, { tried: ["b"], outside: false }));

  // Guards against a call sent to a target that was evacuated meanwhile.
  it("drops a permit for a target that is evacuated since", () =>
    doTest({ evacuatedLater: ["a", "b"] }, { tried: [], outside: false }));
});
