import { describe, expect, it } from "vitest";
import { SnapshotTransfer } from "./snapshot_transfer.ts";

/** Parts of which each message carries one. */
const PARTS = Array.from({ length: 40 }, (_, i) => `${i}`.padEnd(100, "x"));

describe(SnapshotTransfer.name, () => {
  function create() {
    const members = { voters: ["a"], learners: [] };
    return new SnapshotTransfer({
      snapshot: { index: 10, term: 1, members },
      parts: PARTS,
      maxBytes: 100,
    });
  }

  /** Takes all that may be sent at a time, and gets the positions. */
  function takeAll(transfer: SnapshotTransfer, now: number): number[] {
    const taken: number[] = [];
    for (;;) {
      const range = transfer.take(now);
      if (range === undefined) return taken;
      taken.push(range.first);
    }
  }

  it("sends further parts as others are answered", () => {
    const transfer = create();
    expect(takeAll(transfer, 0)).toEqual(
      Array.from({ length: 16 }, (_, i) => i),
    );
    transfer.onReply(2, 0);
    expect(takeAll(transfer, 5)).toEqual([16, 17]);
  });

  it("sends one message again if a much later one is answered", () => {
    const transfer = create();
    takeAll(transfer, 0);
    transfer.onReply(3, 0);
    takeAll(transfer, 60);
    transfer.onReply(3, 60);
    expect(takeAll(transfer, 70)).toEqual([3]);
    transfer.onReply(19, 70);
    expect(takeAll(transfer, 75)[0]).toBe(19);
  });

  it("waits for a message that may still arrive", () => {
    const transfer = create();
    takeAll(transfer, 0);
    transfer.onReply(3, 0);
    takeAll(transfer, 40);
    transfer.onReply(3, 40);
    expect(takeAll(transfer, 45)).toEqual([]);
  });

  it("asks after all parts that were sent, while some are not answered", () => {
    const transfer = create();
    expect(transfer.getQuestion()).toBeUndefined();
    takeAll(transfer, 0);
    expect(transfer.getQuestion()).toEqual({ first: 16, parts: [] });
    transfer.onReply(16, 0);
    expect(transfer.getQuestion()).toBeUndefined();
  });

  // Guards against a transfer that never ends as its receiver has restarted.
  it("begins anew if the replica holds less than before", () => {
    const transfer = create();
    takeAll(transfer, 0);
    transfer.onReply(10, 0);
    takeAll(transfer, 10);
    transfer.onReply(0, 100);
    expect(takeAll(transfer, 101)).toEqual(
      Array.from({ length: 16 }, (_, i) => i),
    );
  });

  it("ignores a late answer", () => {
    const transfer = create();
    takeAll(transfer, 0);
    transfer.onReply(10, 5);
    takeAll(transfer, 10);
    transfer.onReply(4, 5);
    expect(takeAll(transfer, 11)).toEqual([]);
  });

  it("sends all again in turn if the replica got none", () => {
    const transfer = create();
    takeAll(transfer, 0);
    const sent: number[] = [];
    for (let now = 100; sent.length < 16; now += 10) {
      transfer.onReply(sent.length, now);
      sent.push(...takeAll(transfer, now).filter((first) => first < 16));
    }
    expect(sent).toEqual(Array.from({ length: 16 }, (_, i) => i));
  });
});
