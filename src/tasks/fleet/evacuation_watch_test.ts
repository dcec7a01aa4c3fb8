import { describe, expect, it } from "vitest";
import { createReport } from "../../../tests/support/target_report.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import { EvacuationWatch } from "./evacuation_watch.ts";

describe(EvacuationWatch.name, () => {
  function doTest(
    act: (watch: EvacuationWatch) => void,
    expected: {
      readonly ready: readonly string[];
      readonly changes: number;
      /** Targets that are cold afterwards; none by default. */
      readonly cold?: readonly string[];
    },
  ) {
    const registry = new TargetRegistry();
    for (const dataCentre of ["a", "b"]) {
      const fields = { id: dataCentre, address: dataCentre, dataCentre };
      registry.merge(createReport(fields), 0);
    }
    let changes = 0;
    const watch = new EvacuationWatch({
      node: {
        logger: new Logger({ instance: "test", level: "error" }),
        metrics: new Metrics({ tags: {} }),
      },
      registry,
      getService: () => ({
        name: "s",
        healthPath: "/",
        maxConnections: 8,
        models: [],
        scaling: undefined,
        slowStart: { durationMs: 3_000, requestsPerS: 8 },
      }),
      now: () => 0,
      onChanged: () => changes += 1,
    });
    act(watch);
    const ready = registry.readyOf("s").map(({ report }) => report.id);
    const cold = registry.all
      .filter(({ coldUntil = 0 }) => coldUntil >= 3_000)
      .map(({ report }) => report.id);
    expect({ ready, changes, cold }).toEqual({ cold: [], ...expected });
  }

  // Guards against requests of a process that missed an order while it was down.
  it("offers no targets before a control instance has told its state", () => {
    doTest((watch) => watch.apply({ version: 1, dataCentres: ["a"] }), {
      ready: [],
      changes: 0,
    });
  });

  it("offers all targets if the leader knows of no evacuation", () => {
    doTest((watch) => watch.confirm(undefined), {
      ready: ["a", "b"],
      changes: 1,
    });
  });

  // Guards against a delayed notice that withdraws a newer order.
  it("ignores an older state", () => {
    doTest((watch) => {
      watch.confirm({ version: 2, dataCentres: ["a"] })
        .apply({ version: 1, dataCentres: ["b"] })
        .confirm({ version: 0, dataCentres: [] });
    }, { ready: ["b"], changes: 1 });
  });

  it("applies a newer state", () => {
    doTest((watch) => {
      watch.confirm({ version: 1, dataCentres: ["a", "b"] })
        .apply({ version: 2, dataCentres: ["b"] });
    }, { ready: ["a"], changes: 2, cold: ["a"] });
  });
});
