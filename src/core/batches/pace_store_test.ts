import { describe, expect, it } from "vitest";
import { PaceStore } from "./pace_store.ts";

const FIVE_MINUTES_MS = 300_000;
const WALL_MS = 1_700_000_000_000;

describe(PaceStore.name, () => {
  const clock = (now: number, wallNow = WALL_MS + now) => ({ now, wallNow });
  const message = (
    paceMs: number,
    { term = 1, ageMs = 0, incarnation = 1 } = {},
  ) => ({
    term,
    targets: [{ id: "x", service: "s", incarnation, paceMs, ageMs }],
    services: [],
  });
  const paces = (store: PaceStore, at = clock(0), revision = 0) =>
    store.changesSince(revision, at).targets.map(({ paceMs }) => paceMs);

  it("counts noticeable changes only", () => {
    const store = new PaceStore().update(message(20), clock(0));
    const { revision } = store;
    store.update(message(20.5), clock(2_000));
    expect(store.revision).toBe(revision);
    store.update(message(22), clock(4_000));
    expect(paces(store, clock(4_000), revision)).toEqual([22]);
  });

  // Failure: other instances reject a message for one record of it.
  it("keeps no pace of a target whose events always come together", () => {
    const store = new PaceStore().update(message(0), clock(0));
    expect(store.revision).toBe(0);
  });

  // Failure: an unchanged pace grows too old at the other instances.
  it("renews a pace that is measured still, and no other", () => {
    const store = new PaceStore().update(message(20), clock(0));
    const { revision } = store;
    store.update(message(20, { ageMs: 90_000 }), clock(90_000));
    expect(store.revision).toBe(revision);
    store.update(message(20), clock(90_000));
    expect(store.revision).toBeGreaterThan(revision);
  });

  // Failure: a leader that does not know yet of its successor goes on sending.
  it("rejects messages of an earlier term", () => {
    const store = new PaceStore();
    expect(store.merge(message(20, { term: 5 }), clock(0))).toBe(true);
    expect(store.merge(message(90, { term: 4 }), clock(1_000))).toBe(false);
    expect(paces(store)).toEqual([20]);
  });

  // Failure: a newly formed log begins with low terms.
  it("accepts an earlier term once the later one is silent for long", () => {
    const store = new PaceStore();
    store.merge(message(20, { term: 5 }), clock(0));
    const later = clock(FIVE_MINUTES_MS + 1);
    expect(store.merge(message(90, { term: 1 }), later)).toBe(true);
  });

  it.each([
    { file: 60_000, expected: [20] },
    { file: 1_000, expected: [90] },
  ])("uses the newer of file and message: %o", ({ file, expected }) => {
    const store = new PaceStore();
    store.merge(message(20, { ageMs: 30_000 }), clock(0));
    store.load({ ...message(90), savedAt: WALL_MS - file }, clock(0));
    expect(paces(store)).toEqual(expected);
  });

  // Failure: either clock stops or is set back, so old paces seem new.
  it.each([
    clock(FIVE_MINUTES_MS + 1, WALL_MS),
    clock(0, WALL_MS + FIVE_MINUTES_MS + 1),
  ])("ignores a pace that is too old by one clock: %o", (later) => {
    const store = new PaceStore().update(message(20), clock(0));
    expect(paces(store, later)).toEqual([]);
  });

  it.each([FIVE_MINUTES_MS + 1, -FIVE_MINUTES_MS - 1])(
    "ignores a file written %i ms ago",
    (ago) => {
      const stored = { ...message(20), savedAt: WALL_MS - ago };
      expect(paces(new PaceStore().load(stored, clock(0)))).toEqual([]);
    },
  );
});
