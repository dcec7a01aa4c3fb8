import { describe, expect, it } from "vitest";
import { FleetRole, type RosterEntry } from "./fleet_member.ts";
import { chooseReplica, type ReplicaChoiceInput } from "./replica_choice.ts";

function createMember(
  id: string,
  fields: Partial<RosterEntry> = {},
): RosterEntry {
  return {
    id,
    name: id,
    role: FleetRole.Ledger,
    dataCentre: "a",
    leadsTerm: undefined,
    isVoter: true,
    ...fields,
  };
}

describe(chooseReplica.name, () => {
  function doTest(
    input: Partial<ReplicaChoiceInput>,
    expected: string | undefined,
  ) {
    const chosen = chooseReplica({
      members: [],
      dataCentre: "a",
      spread: 0,
      isAvoided: () => false,
      ...input,
    });
    expect(chosen).toBe(expected);
  }

  it("takes no replica of another data centre", () => {
    const members = [createMember("r1", { dataCentre: "b" })];
    doTest({ members }, undefined);
  });

  it("takes no replica that stores only part of the entries", () => {
    const members = [
      createMember("r1", { isVoter: false }),
      createMember("r2", { isVoter: undefined }),
    ];
    doTest({ members }, undefined);
  });

  it("leaves the leader to others", () => {
    const members = [createMember("r1", { leadsTerm: 3 }), createMember("r2")];
    doTest({ members }, "r2");
    doTest({ members: members.slice(0, 1) }, undefined);
  });

  it("leaves out a replica that did not answer", () => {
    const members = [createMember("r1"), createMember("r2")];
    doTest({ members, isAvoided: (id) => id === "r1" }, "r2");
  });

  it("spreads readers over the replicas of a data centre", () => {
    const members = [createMember("r2"), createMember("r1")];
    doTest({ members, spread: 4 }, "r1");
    doTest({ members, spread: 5 }, "r2");
  });
});
