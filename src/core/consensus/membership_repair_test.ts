import { describe, expect, it } from "vitest";
import { wantedVoters } from "../fleet/mod.ts";
import { nextMembers, type RepairInput } from "./membership_repair.ts";

describe(nextMembers.name, () => {
  function doTest(
    input: Partial<RepairInput>,
    expected: { voters: string[]; learners: string[] } | undefined,
  ) {
    const next = nextMembers({
      members: { voters: ["a#1", "b#1", "c#1"], learners: [] },
      present: ["a#1", "b#1", "c#1"],
      wantedVoters: 3,
      isCaughtUp: () => true,
      ...input,
    });
    expect(next).toEqual(expected);
  }

  it("changes nothing if all members are present", () => doTest({}, undefined));

  it("adds a new replica as a learner", () =>
    doTest({ present: ["a#1", "b#1", "c#1", "d#1"] }, {
      voters: ["a#1", "b#1", "c#1"],
      learners: ["d#1"],
    }));

  it("adds no unneeded learner if the number of learners is limited", () =>
    doTest({
      present: ["a#1", "b#1", "c#1", "d#1"],
      wantedLearners: 0,
    }, undefined));

  it("adds a learner for a voter that is down, regardless of the limit", () =>
    doTest({
      present: ["a#1", "b#1", "d#1"],
      wantedLearners: 0,
      isPermanentlyDown: (id) => id === "c#1",
    }, { voters: ["a#1", "b#1", "c#1"], learners: ["d#1"] }));

  it("removes a voter that is down once a learner has caught up", () =>
    doTest({
      members: { voters: ["a#1", "b#1", "c#1"], learners: ["d#1"] },
      present: ["a#1", "b#1", "d#1"],
      isPermanentlyDown: (id) => id === "c#1",
    }, { voters: ["a#1", "b#1"], learners: ["d#1"] }));

  it("replaces a voter with a lost disk by a replica of another instance", () =>
    doTest({
      members: { voters: ["a#1", "b#1", "c#1"], learners: ["d#1"] },
      present: ["a#1", "b#2", "c#1", "d#1"],
      wantedLearners: 0,
    }, { voters: ["a#1", "c#1"], learners: ["d#1"] }));

  it("keeps a voter with a lost disk while no learner has caught up", () =>
    doTest({
      members: { voters: ["a#1", "b#1", "c#1"], learners: ["d#1"] },
      present: ["a#1", "b#2", "c#1", "d#1"],
      wantedLearners: 0,
      isCaughtUp: () => false,
    }, undefined));

  // Guards against a repair by a replica whose own disk is lost next.
  it("adds the replica of the instance that lost its disk first", () =>
    doTest({
      present: ["d#1", "a#1", "b#2", "c#1"],
      wantedLearners: 0,
    }, { voters: ["a#1", "b#1", "c#1"], learners: ["b#2"] }));

  it("repairs every loss of one disk after another", () => {
    const lost = new Map<string, number>();
    const replicaOf = (name: string) => `${name}#${lost.get(name) ?? 1}`;
    const names = ["a", "b", "c", "d"];
    let members = { voters: ["a#1", "b#1", "c#1"], learners: [] as string[] };
    for (let round = 0; round < 40; round += 1) {
      const name = names[(round * 7) % names.length];
      lost.set(name, (lost.get(name) ?? 1) + 1);
      for (let change = 0; change < 10; change += 1) {
        const next = nextMembers({
          members,
          present: [...names.slice(round % 4), ...names].map(replicaOf),
          wantedVoters: 3,
          wantedLearners: 0,
          isCaughtUp: () => true,
        });
        if (next === undefined) break;
        members = { voters: [...next.voters], learners: [...next.learners] };
      }
      const running = members.voters.filter((id) =>
        names.map(replicaOf).includes(id)
      );
      expect(running).toHaveLength(3);
    }
  });

  it("tolerates the loss of any voter while one retires", () => {
    let members = { voters: ["a#1", "b#1", "c#1"], learners: [] as string[] };
    const sizes: number[] = [];
    for (let change = 0; change < 10; change += 1) {
      const next = nextMembers({
        members,
        present: ["a#1", "b#1", "d#1"],
        wantedVoters: 3,
        wantedLearners: 0,
        isRetiring: (id) => id === "c#1",
        isCaughtUp: () => true,
      });
      if (next === undefined) break;
      members = { voters: [...next.voters], learners: [...next.learners] };
      sizes.push(members.voters.length);
    }
    expect(members.voters).toEqual(["a#1", "b#1", "d#1"]);
    expect(Math.min(...sizes)).toBe(3);
  });

  it("keeps a retiring voter while no learner has caught up", () =>
    doTest({
      members: { voters: ["a#1", "b#1", "c#1"], learners: ["d#1"] },
      present: ["a#1", "b#1", "d#1"],
      isRetiring: (id) => id === "c#1",
      isCaughtUp: () => false,
    }, undefined));

  it("removes a retiring learner", () =>
    doTest({
      members: { voters: ["a#1", "b#1", "c#1"], learners: ["d#1"] },
      isRetiring: (id) => id === "d#1",
    }, { voters: ["a#1", "b#1", "c#1"], learners: [] }));

  it("keeps a voter that is down while no learner has caught up", () =>
    doTest({
      members: { voters: ["a#1", "b#1", "c#1"], learners: ["d#1"] },
      present: ["a#1", "b#1", "d#1"],
      isPermanentlyDown: (id) => id === "c#1",
      isCaughtUp: () => false,
    }, undefined));

  it("promotes a learner that lacks data", () =>
    doTest({
      members: { voters: ["a#1", "b#1"], learners: ["c#2"] },
      present: ["a#1", "b#1", "c#2"],
      isPartial: (id) => id === "c#2",
    }, { voters: ["a#1", "b#1", "c#2"], learners: [] }));

  it("removes a voter with a lost disk, although all others lack data", () =>
    doTest({
      members: { voters: ["a#1", "b#1", "c#1"], learners: ["c#2"] },
      present: ["a#1", "b#1", "c#2"],
      isPartial: (id) => id !== "c#1",
    }, { voters: ["a#1", "b#1"], learners: ["c#2"] }));

  it("keeps a voter that is down while all others lack data", () =>
    doTest({
      members: { voters: ["a#1", "b#1", "c#1"], learners: ["d#1"] },
      present: ["a#1", "b#1", "d#1"],
      isPermanentlyDown: (id) => id === "c#1",
      isPartial: (id) => id !== "c#1",
    }, undefined));

  it("removes a voter that is down if another has all data", () =>
    doTest({
      members: { voters: ["a#1", "b#1", "c#1"], learners: ["d#1"] },
      present: ["a#1", "b#1", "d#1"],
      isPermanentlyDown: (id) => id === "c#1",
      isPartial: (id) => id === "a#1" || id === "d#1",
    }, { voters: ["a#1", "b#1"], learners: ["d#1"] }));

  it("keeps a retiring voter while its successor lacks data", () =>
    doTest({
      members: { voters: ["a#1", "b#1", "c#1", "d#1"], learners: [] },
      present: ["a#1", "b#1", "d#1"],
      isRetiring: (id) => id === "c#1",
      isPartial: (id) => id === "d#1",
    }, undefined));

  it("promotes a caught-up learner if voters are missing", () =>
    doTest({
      members: { voters: ["a#1", "b#1"], learners: ["d#1"] },
      present: ["a#1", "b#1", "d#1"],
    }, { voters: ["a#1", "b#1", "d#1"], learners: [] }));

  it("removes a learner that is permanently down", () =>
    doTest({
      members: { voters: ["a#1", "b#1", "c#1"], learners: ["d#1"] },
      isPermanentlyDown: (id) => id === "d#1",
    }, { voters: ["a#1", "b#1", "c#1"], learners: [] }));
});

describe(wantedVoters.name, () => {
  it("is the greatest odd number not above the replica count", () => {
    expect([1, 2, 3, 4, 8, 9].map(wantedVoters)).toEqual([1, 1, 3, 3, 7, 9]);
  });
});
