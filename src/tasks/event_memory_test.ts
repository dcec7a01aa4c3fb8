import { describe, expect, it } from "vitest";
import { EventMemory } from "./event_memory.ts";

describe(EventMemory.name, () => {
  const MAX_LENGTH = 100;

  function doTest(lengths: readonly number[], expected: readonly boolean[]) {
    const memory = new EventMemory(MAX_LENGTH);
    expect(lengths.map((length) => memory.set({}, length))).toEqual(expected);
  }

  it("takes events up to the bound", () => doTest([60, 40], [true, true]));

  it("refuses a large event beyond it", () => doTest([60, 60], [true, false]));

  it("takes a small event though larger ones exceed it", () =>
    doTest([90, 90, 5], [true, false, true]));

  it("counts a stream once, and no more after its release", () => {
    const memory = new EventMemory(MAX_LENGTH);
    const [a, b] = [{}, {}];
    for (let i = 0; i < 10; i += 1) expect(memory.set(a, 90)).toBe(true);
    expect(memory.set(b, 90)).toBe(false);
    memory.release(a);
    expect(memory.set(b, 90)).toBe(true);
    memory.release(b);
    memory.release(b);
    expect(memory.set(a, MAX_LENGTH)).toBe(true);
    expect(memory.set(b, 1)).toBe(true);
  });
});
