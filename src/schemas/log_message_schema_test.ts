import { describe, expect, it } from "vitest";
import { logEnvelopeSchema } from "./log_message_schema.ts";

const base = { from: "a/1", to: "b/1", term: 3 };
const append = {
  ...base,
  type: "appendRequest",
  prevIndex: 4,
  prevTerm: 2,
  entries: [{ index: 5, term: 3, content: { type: "command", command: 7 } }],
  committed: 4,
  sentAt: 12.5,
};
const members = { voters: ["a/1"], learners: [] };
const snapshot = {
  ...base,
  type: "snapshotRequest",
  snapshot: { index: 9, term: 3, members, state: { batches: [] } },
  sentAt: 1,
};

describe("messages of logs", () => {
  function doTest(messages: readonly unknown[], isAccepted: boolean) {
    for (const message of messages) {
      const { success } = logEnvelopeSchema.safeParse({ log: "l", message });
      expect({ message, success }).toEqual({ message, success: isAccepted });
    }
  }

  it("are those that replicas send", () => {
    const candidate = { ...base, lastIndex: 0, lastTerm: 0 };
    doTest([
      append,
      { ...append, entries: [], electionDelayMs: 20 },
      {
        ...append,
        entries: [{ index: 1, term: 1, content: { type: "noop" } }],
      },
      {
        ...append,
        entries: [{ index: 1, term: 1, content: { type: "members", members } }],
      },
      snapshot,
      { ...candidate, type: "preVoteRequest" },
      { ...candidate, type: "voteRequest", isTransfer: false },
      { ...base, type: "voteReply", isGranted: true },
      { ...base, type: "preVoteReply", isGranted: true },
      {
        ...base,
        type: "appendReply",
        isAccepted: true,
        matchIndex: 0,
        sentAt: 1,
      },
      { ...base, type: "transferRequest" },
    ], true);
  });

  it("are refused if a replica would stop or fall behind for good by them", () =>
    doTest([
      null,
      { ...base, type: "other" },
      { ...append, term: 1e300 },
      { ...append, term: 2 ** 53 - 1 },
      { ...append, entries: [null] },
      { ...append, entries: [{ index: 5, term: 3, content: {} }] },
      { ...append, entries: null },
      { ...append, committed: 0.5 },
      { ...append, sentAt: "1" },
      { ...append, electionDelayMs: 1e300 },
      { ...snapshot, snapshot: { ...snapshot.snapshot, members: null } },
      { ...snapshot, snapshot: { ...snapshot.snapshot, state: null } },
    ], false));
});
