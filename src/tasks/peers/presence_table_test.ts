import { describe, expect, it } from "vitest";
import { FleetRole } from "../../core/fleet/mod.ts";
import { PresenceTable } from "./presence_table.ts";

const PRESENCE = { ledger: "l1", incarnation: "i1", isDraining: false };
const MEMBER = {
  name: "a",
  dataCentre: "a",
  role: FleetRole.Ledger,
  leadsTerm: undefined,
  policyRevision: 0,
  targetsSeen: {},
};

describe(PresenceTable.name, () => {
  function doTest(
    agesMs: { readonly sinceCreation: number; readonly sinceHeartbeat: number },
    expected: { isPresent: boolean; absentMs: number },
  ) {
    const { sinceCreation, sinceHeartbeat } = agesMs;
    let now = 10_000;
    const table = new PresenceTable(() => now);
    now += sinceCreation - sinceHeartbeat;
    table.record("a", PRESENCE);
    now += sinceHeartbeat;
    const { isPresent, absentMs } = expected;
    expect(table.isPresent("a")).toBe(isPresent);
    expect(table.presentIds).toEqual(isPresent ? ["a"] : []);
    expect(table.get("a")).toEqual(isPresent ? PRESENCE : undefined);
    expect(table.absentMs("a")).toBe(absentMs);
    expect(table.absentMs("never seen")).toBe(sinceCreation);
  }

  it("counts an instance as present until heartbeats stay out", () =>
    doTest(
      { sinceCreation: 9_000, sinceHeartbeat: 3_499 },
      { isPresent: true, absentMs: 3_499 },
    ));

  // Guards against messages that are sent to an instance that has ended.
  it("counts it as absent 3.5 s after its last heartbeat", () =>
    doTest(
      { sinceCreation: 9_000, sinceHeartbeat: 3_500 },
      { isPresent: false, absentMs: 3_500 },
    ));

  // Guards against a lost replica whose successor is noticed late.
  it("tells which heartbeat is the first of a replica", () => {
    const table = new PresenceTable(() => 0);
    const doRecord = (replica: string | undefined) =>
      table.record("a", {
        ...PRESENCE,
        member: { ...MEMBER, replica },
      });
    const replicas = [undefined, "a#1", "a#1", "a#2", undefined, "a#2"];
    expect(replicas.map(doRecord))
      .toEqual([false, true, false, true, false, true]);
  });
});
