import { describe, expect, it } from "vitest";
import type {
  ConsensusEffect,
  ConsensusMessage,
} from "../../core/consensus/mod.ts";
import { EffectQueue, type WriteEffect } from "./effect_queue.ts";

type Effect = ConsensusEffect<string, string>;

const ENVELOPE = { from: "a", to: "b", term: 1 };
const HEARTBEAT: ConsensusMessage<string, string> = {
  ...ENVELOPE,
  type: "appendRequest",
  prevIndex: 0,
  prevTerm: 0,
  entries: [],
  committed: 0,
  sentAt: 0,
};
const REPLY: ConsensusMessage<string, string> = {
  ...ENVELOPE,
  type: "appendReply",
  isAccepted: true,
  matchIndex: 1,
  sentAt: 0,
};
const ENTRIES: WriteEffect<string, string> = {
  type: "write",
  entries: [],
  lastIndex: 1,
  term: 1,
};
const TERM: WriteEffect<string, string> = {
  type: "write",
  hardState: { term: 1, votedFor: undefined },
  lastIndex: 0,
  term: 1,
};

describe(EffectQueue.name, () => {
  /** Gets the types of the messages that are sent before a write has ended. */
  async function doTest(
    write: WriteEffect<string, string>,
    message: ConsensusMessage<string, string>,
    { writeMs = 0 } = {},
  ): Promise<string[]> {
    const sent: string[] = [];
    let now = 0;
    let end = () => {};
    const queue = new EffectQueue<string, string>({
      write: () => new Promise((resolve) => (end = resolve)),
      execute: (effect: Effect) => {
        if (effect.type === "send") sent.push(effect.message.type);
      },
      onWritten: () => {},
      onFailed: () => {},
      now: () => now,
    });
    queue.add([write]);
    now = writeMs;
    queue.add([{ type: "send", message }]);
    const before = [...sent];
    end();
    await expect.poll(() => sent).toEqual([message.type]);
    return before;
  }

  // Guards against a lead that is lost as heartbeats wait for a slow disk.
  it("sends a leader's requests while entries are written", async () =>
    expect(await doTest(ENTRIES, HEARTBEAT)).toEqual(["appendRequest"]));
  it("sends no request of a term that is being written", async () =>
    expect(await doTest(TERM, HEARTBEAT)).toEqual([]));
  it("sends no reply before what precedes it is written", async () =>
    expect(await doTest(ENTRIES, REPLY)).toEqual([]));
  it("sends no request while the disk stands still", async () =>
    expect(await doTest(ENTRIES, HEARTBEAT, { writeMs: 1_000 })).toEqual([]));
});
