import { describe, expect, it } from "vitest";
import type { SnapshotPartRequest } from "./consensus_message.ts";
import { SnapshotReceiver } from "./snapshot_receiver.ts";

function createMessage(
  first: number,
  parts: readonly string[],
  { term = 1, index = 10 } = {},
): SnapshotPartRequest {
  const members = { voters: ["a"], learners: [] };
  return {
    type: "snapshotPartRequest",
    from: "a",
    to: "b",
    term,
    snapshot: { index, term: 1, members },
    first,
    total: 4,
    parts,
    sentAt: 0,
  };
}

describe(SnapshotReceiver.name, () => {
  function doTest(
    messages: readonly SnapshotPartRequest[],
    expected: {
      accepted: readonly boolean[];
      received: number;
      parts?: readonly string[];
    },
  ) {
    const receiver = new SnapshotReceiver();
    expect(messages.map((message) => receiver.add(message)))
      .toEqual(expected.accepted);
    expect(receiver.received).toBe(expected.received);
    expect(receiver.getComplete()?.parts).toEqual(expected.parts);
  }

  it("is complete with the last part", () =>
    doTest(
      [createMessage(0, ["a", "b", "c"]), createMessage(3, ["d"])],
      { accepted: [true, true], received: 4, parts: ["a", "b", "c", "d"] },
    ));

  // Guards against parts that are lost as they overtake others.
  it("takes parts in any order, and each once", () =>
    doTest(
      [
        createMessage(2, ["c"]),
        createMessage(0, ["a"]),
        createMessage(3, ["d"]),
        createMessage(0, ["a"]),
        createMessage(1, ["b"]),
      ],
      {
        accepted: [false, true, false, true, true],
        received: 4,
        parts: ["a", "b", "c", "d"],
      },
    ));

  it("says how many parts it holds without a gap", () =>
    doTest(
      [createMessage(0, ["a"]), createMessage(2, ["c"]), createMessage(4, [])],
      { accepted: [true, false, false], received: 1 },
    ));

  it("drops the parts of an earlier snapshot", () =>
    doTest(
      [createMessage(0, ["a", "b"]), createMessage(2, ["c"], { index: 11 })],
      { accepted: [true, false], received: 0 },
    ));

  // Guards against a late message that ends the transfer in force.
  it("ignores late messages of an earlier snapshot or leader", () =>
    doTest(
      [
        createMessage(0, ["A", "B", "C"], { term: 2, index: 11 }),
        createMessage(3, ["d"], { term: 2, index: 10 }),
        createMessage(3, ["d"], { term: 1, index: 12 }),
      ],
      { accepted: [true, false, false], received: 3 },
    ));
});
