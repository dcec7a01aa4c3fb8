import { describe, expect, it } from "vitest";
import { wantedVoters } from "../fleet/mod.ts";
import { nextMembers, type RepairQuestion } from "./membership_repair.ts";

describe(nextMembers.name, () => {
  function doTest(
    question: Partial<RepairQuestion>,
    expected: { voters: string[]; learners: string[] } | undefined,
  ) {
    const next = nextMembers({
      members: { voters: ["a#1", "b#1", "c#1"], learners: [] },
      present: ["a#1", "b#1", "c#1"],
      wantedVoters: 3,
      isWhole: () => true,
      ...question,
    });
    expect(next).toEqual(expected);
  }

  it("changes nothing where all are there", () => doTest({}, undefined));

  it("adds what is present as a learner", () =>
    doTest({ present: ["a#1", "b#1", "c#1", "d#1"] }, {
      voters: ["a#1", "b#1", "c#1"],
      learners: ["d#1"],
    }));

  it("adds none that is not needed where learners are bounded", () =>
    doTest({
      present: ["a#1", "b#1", "c#1", "d#1"],
      wantedLearners: 0,
    }, undefined));

  it("needs an heir where a voter has gone, whatever is wanted", () =>
    doTest({
      present: ["a#1", "b#1", "d#1"],
      wantedLearners: 0,
      isGone: (id) => id === "c#1",
    }, { voters: ["a#1", "b#1", "c#1"], learners: ["d#1"] }));

  it("gives the place of a voter that has gone to a whole learner", () =>
    doTest({
      members: { voters: ["a#1", "b#1", "c#1"], learners: ["d#1"] },
      present: ["a#1", "b#1", "d#1"],
      isGone: (id) => id === "c#1",
    }, { voters: ["a#1", "b#1"], learners: ["d#1"] }));

  it("keeps a voter that has gone while no learner is whole", () =>
    doTest({
      members: { voters: ["a#1", "b#1", "c#1"], learners: ["d#1"] },
      present: ["a#1", "b#1", "d#1"],
      isGone: (id) => id === "c#1",
      isWhole: () => false,
    }, undefined));

  it("promotes a whole learner where voters are missing", () =>
    doTest({
      members: { voters: ["a#1", "b#1"], learners: ["d#1"] },
      present: ["a#1", "b#1", "d#1"],
    }, { voters: ["a#1", "b#1", "d#1"], learners: [] }));

  it("drops a learner that has gone", () =>
    doTest({
      members: { voters: ["a#1", "b#1", "c#1"], learners: ["d#1"] },
      isGone: (id) => id === "d#1",
    }, { voters: ["a#1", "b#1", "c#1"], learners: [] }));
});

describe(wantedVoters.name, () => {
  it("is the greatest odd number of replicas", () => {
    expect([1, 2, 3, 4, 8, 9].map(wantedVoters)).toEqual([1, 1, 3, 3, 7, 9]);
  });
});
