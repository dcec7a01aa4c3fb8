import { describe, expect, it } from "vitest";
import { createReport } from "../../../tests/support/target_report.ts";
import { RegistryChange, TargetRegistry } from "./target_registry.ts";
import { type TargetReport, TargetState } from "./target_report.ts";

function report(fields: Partial<TargetReport>): TargetReport {
  const common = { id: "i-1", service: "planner", versions: { m: 1 } };
  return createReport({ ...common, ...fields });
}

describe(TargetRegistry.name, () => {
  function doTest(
    reports: readonly Partial<TargetReport>[],
    expected: Readonly<Record<string, TargetState>>,
  ) {
    const registry = new TargetRegistry();
    reports.forEach((fields, i) => registry.merge(report(fields), i));
    const states = registry.all
      .map(({ report: r }) => [r.id, r.state] as const);
    expect(Object.fromEntries(states)).toEqual(expected);
  }

  it("ignores a report that arrives out of order", () => {
    doTest(
      [{ sequence: 2, state: TargetState.Draining }, { sequence: 1 }],
      { "i-1": TargetState.Draining },
    );
  });

  it("accepts a new incarnation whose sequence restarts", () => {
    doTest(
      [
        { sequence: 9, state: TargetState.Draining },
        { incarnation: 2, sequence: 1 },
      ],
      { "i-1": TargetState.Ready },
    );
  });

  it("assigns an address to the target that started last", () => {
    doTest(
      [{}, { id: "i-2", incarnation: 5 }, { sequence: 2 }],
      { "i-1": TargetState.Removed, "i-2": TargetState.Ready },
    );
  });

  it("ignores late reports of a deregistered target", () => {
    const registry = new TargetRegistry();
    registry.merge(report({}), 0);
    registry.remove("i-1", undefined, 1);
    expect(registry.merge(report({ sequence: 7 }), 2))
      .toBe(RegistryChange.None);
    expect(registry.readyOf("planner")).toEqual([]);
  });

  it("keeps a target leaving although its reports call it ready", () => {
    const registry = new TargetRegistry();
    registry.merge(report({}), 0);
    expect(registry.markLeaving("i-1", 1)).toBe(true);
    expect(registry.markLeaving("i-1", 1)).toBe(false);
    registry.merge(report({ sequence: 2 }), 1);
    expect(registry.readyOf("planner")).toEqual([]);
  });

  it("does not take a restarted target for the one that left", () => {
    const registry = new TargetRegistry();
    registry.merge(report({ incarnation: 2 }), 0);
    expect(registry.markLeaving("i-1", 1)).toBe(false);
    registry.markLeaving("i-1", 2);
    registry.merge(report({ incarnation: 3, sequence: 1 }), 1);
    expect(registry.readyOf("planner")).toHaveLength(1);
  });

  it("is not changed by a late report of a target that has left", () => {
    const registry = new TargetRegistry()
      .setDepartures((id, incarnation) => id === "i-1" && incarnation <= 2);
    const { None, Changed } = RegistryChange;
    expect(registry.merge(report({ incarnation: 2 }), 0)).toBe(None);
    expect(registry.merge(report({ incarnation: 1 }), 0)).toBe(None);
    expect(registry.all).toEqual([]);
    const draining = { incarnation: 2, state: TargetState.Draining };
    expect(registry.merge(report(draining), 1)).toBe(Changed);
    expect(registry.readyOf("planner")).toEqual([]);
    expect(registry.merge(report({ incarnation: 3 }), 2)).toBe(Changed);
    expect(registry.readyOf("planner")).toHaveLength(1);
  });

  // Guards against requests to an evacuated data centre.
  it("offers no target of an evacuated data centre", () => {
    const registry = new TargetRegistry();
    registry.merge(report({ id: "i-1", dataCentre: "a", address: "1" }), 0);
    registry.merge(report({ id: "i-2", dataCentre: "b", address: "2" }), 0);
    const ready = () =>
      registry.readyOf("planner").map(({ report: { id } }) => id);
    registry.setEvacuated(new Set(["a"]));
    expect(ready()).toEqual(["i-2"]);
    expect(registry.maySendTo("i-1")).toBe(false);
    registry.setEvacuated(new Set());
    expect(ready()).toEqual(["i-1", "i-2"]);
  });

  // Guards against requests of an instance that has just started.
  it("offers none while it is unknown which data centres are evacuated", () => {
    const registry = new TargetRegistry().setEvacuated(undefined);
    registry.merge(report({}), 0);
    expect(registry.readyOf("planner")).toEqual([]);
  });

  it("learns that a target leaves from a copy of a known report", () => {
    doTest(
      [{}, { state: TargetState.Draining }, {}],
      { "i-1": TargetState.Draining },
    );
  });

  it("distinguishes a repeated report from a changed one", () => {
    const registry = new TargetRegistry();
    expect(registry.merge(report({}), 0)).toBe(RegistryChange.Changed);
    expect(registry.merge(report({ sequence: 2 }), 1))
      .toBe(RegistryChange.Refreshed);
    expect(registry.merge(report({ sequence: 3, versions: { m: 2 } }), 2))
      .toBe(RegistryChange.Changed);
  });

  describe("beside reports of a service that no policy names", () => {
    const OTHER = { id: "i-2", service: "other", incarnation: 5 };

    /** Merges reports, of which those of the service `planner` are named. */
    function doServiceTest(
      reports: readonly Partial<TargetReport>[],
      named: readonly string[],
      expected: readonly (readonly string[])[],
    ) {
      const registry = new TargetRegistry().setServices(["planner"], 0);
      reports.forEach((fields, i) => registry.merge(report(fields), i));
      const ready = (service: string) =>
        registry.readyOf(service).map(({ report: { id } }) => id);
      const seen = [ready("planner")];
      registry.setServices(named, reports.length);
      seen.push(ready("planner"), ready("other"));
      expect(seen).toEqual(expected);
    }

    it("keeps a target at the address that such a report names", () =>
      doServiceTest([{}, OTHER, { sequence: 2 }], ["planner"], [
        ["i-1"],
        ["i-1"],
        ["i-2"],
      ]));

    it("keeps a target's report if such a one has its identifier", () =>
      doServiceTest(
        [{}, { ...OTHER, id: "i-1", address: "other" }, { sequence: 2 }],
        ["planner"],
        [["i-1"], ["i-1"], []],
      ));

    it("gives up the address once a policy names the service", () =>
      doServiceTest([{}, OTHER], ["planner", "other"], [
        ["i-1"],
        [],
        ["i-2"],
      ]));

    it("takes the first report of a target, whatever its service", () =>
      doServiceTest([OTHER], ["other"], [[], [], ["i-2"]]));
  });
});
