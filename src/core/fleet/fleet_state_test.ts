import { describe, expect, it } from "vitest";
import { createPolicy } from "../../../tests/support/policy_document.ts";
import type { FleetCommand } from "./fleet_command.ts";
import { FleetState } from "./fleet_state.ts";

function policy(revision: number): FleetCommand {
  const document = createPolicy({ revision });
  return { type: "replacePolicy", document, source: `source ${revision}` };
}

describe(FleetState.name, () => {
  function doTest(
    commands: readonly FleetCommand[],
    check: (state: FleetState) => void,
  ) {
    const state = new FleetState();
    for (const command of commands) state.apply(command);
    check(state);
    check(new FleetState().load(structuredClone(state.save())));
  }

  it("keeps the policy with the highest revision, as it was sent", () => {
    doTest([policy(5), policy(3), policy(5)], (state) => {
      expect(state.policyRevision).toBe(5);
      expect(state.policySource).toBe("source 5");
    });
  });

  it("reports whether a policy changed the state", () => {
    const state = new FleetState();
    expect(state.apply(policy(2))).toEqual({ type: "done" });
    expect(state.apply(policy(2))).toEqual({ type: "unchanged" });
  });

  it("keeps the newest version of each model", () => {
    const name = (model: string, version: number): FleetCommand => ({
      type: "announceWeights",
      model,
      version,
    });
    doTest([name("a", 3), name("a", 2), name("b", 1)], (state) => {
      expect([...state.weights]).toEqual([["a", 3], ["b", 1]]);
    });
  });

  it("sets the initial voters of the ledger once", () => {
    doTest([
      { type: "formLedger", voters: ["x"] },
      { type: "formLedger", voters: ["y"] },
    ], (state) => expect(state.ledgerVoters).toEqual(["x"]));
  });

  it("seals a usage window once", () => {
    doTest([
      { type: "sealUsage", window: 7, counts: { a: 1 } },
      { type: "sealUsage", window: 7, counts: { a: 2 } },
    ], (state) => expect(state.sealed.get(7)).toEqual({ a: 1 }));
  });

  it("does not seal a window that has been reported", () => {
    doTest([
      { type: "usageReported", window: 9 },
      { type: "sealUsage", window: 8, counts: { a: 1 } },
    ], (state) => {
      expect(state.sealed.size).toBe(0);
      expect(state.reportedWindow).toBe(9);
    });
  });

  it("records which instances are being drained", () => {
    doTest(
      [
        { type: "retire", name: "l1" },
        { type: "retire", name: "l2" },
        { type: "retired", name: "l1" },
      ],
      (state) =>
        expect([...state.retiring]).toEqual([["l1", true], ["l2", false]]),
    );
  });

  // Guards against evacuations lost by a snapshot of the log.
  it("keeps the evacuated data centres with their version", () => {
    doTest([
      { type: "evacuate", dataCentre: "a", after: 0 },
      { type: "evacuate", dataCentre: "b", after: 1 },
      policy(1),
      { type: "readmit", dataCentre: "a", after: 2 },
    ], (state) => {
      expect(state.evacuations.save()).toEqual({
        version: 3,
        dataCentres: ["b"],
      });
    });
  });

  // Guards against a start that fails on a snapshot of an earlier build.
  it("loads a snapshot without evacuations", () => {
    const { evacuations: _, ...earlier } = new FleetState().save();
    const state = new FleetState();
    state.apply({ type: "evacuate", dataCentre: "a", after: 0 });
    expect(state.load(earlier).evacuations.save())
      .toEqual({ version: 0, dataCentres: [] });
  });

  it("numbers the changes of suspicions, and those alone", () => {
    const death = (target: string): FleetCommand => ({
      type: "reportRuns",
      deaths: [{ fingerprint: "f", target, at: 0 }],
      completed: [],
    });
    const trial: FleetCommand = {
      type: "takeTrial",
      fingerprint: "f",
      at: 60_000,
    };
    const commands = [death("a"), death("a"), death("b"), death("c"), trial];
    doTest([...commands, trial], (state) => {
      expect(state.suspicionVersion).toBe(4);
      expect(state.suspicions.changes).toMatchObject([
        { fingerprint: "f", suspicion: "proven", trials: 1 },
      ]);
    });
  });
});
