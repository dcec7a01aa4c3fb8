import { describe, expect, it } from "vitest";
import { LogReplay, type LogWrite } from "./log_replay.ts";

type Write = LogWrite<string, string>;

describe(LogReplay.name, () => {
  const snapshotAt = (index: number) => ({
    index,
    term: 1,
    members: { voters: [], learners: [] },
    state: `state at ${index}`,
  });
  const entry = (index: number, term = 1) => ({
    index,
    term,
    content: { type: "command" as const, command: `${index} of ${term}` },
  });

  function doTest(writes: Write[], first: number, entries: unknown[]) {
    const replay = new LogReplay<string, string>({
      hardState: { term: 0, votedFor: undefined },
      snapshot: snapshotAt(0),
      entries: [],
    });
    for (const write of writes) replay.add(write);
    expect(replay.stored.snapshot.index).toBe(first);
    expect(replay.stored.entries).toEqual(entries);
  }

  it("adds entries", () =>
    doTest([{ entries: [entry(1)] }, { entries: [entry(2), entry(3)] }], 0, [
      entry(1),
      entry(2),
      entry(3),
    ]));

  it("replaces entries by later ones of the same index", () =>
    doTest(
      [{ entries: [entry(1), entry(2)] }, { entries: [entry(2, 2)] }],
      0,
      [entry(1), entry(2, 2)],
    ));

  it("removes truncated entries", () =>
    doTest([{ entries: [entry(1), entry(2)] }, { truncateFrom: 2 }], 0, [
      entry(1),
    ]));

  it("removes the entries of a snapshot", () =>
    doTest(
      [{ entries: [entry(1), entry(2)] }, { snapshot: snapshotAt(1) }],
      1,
      [entry(2)],
    ));

  it("ignores entries that precede the snapshot", () =>
    doTest(
      [{ snapshot: snapshotAt(2) }, { entries: [entry(2), entry(3)] }],
      2,
      [entry(3)],
    ));
});
