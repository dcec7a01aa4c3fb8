import { describe, expect, it } from "vitest";
import { ChangeCounter } from "./change_counter.ts";

const RETENTION_MS = 1_000;

describe("ChangeCounter", () => {
  function doTest(addedAt: readonly number[], at: number, expected: number) {
    const counter = new ChangeCounter(RETENTION_MS);
    for (const time of addedAt) counter.add(time);
    expect(counter.countUntil(at)).toBe(expected);
  }

  it("counts nothing before the first change", () => doTest([], 5_000, 0));

  it("leaves out changes that were published later", () => {
    doTest([100, 200, 300], 250, 2);
    doTest([100, 200, 300], 99, 0);
  });

  it("counts changes published at the time itself", () => {
    doTest([100, 100, 200], 100, 2);
  });

  it("counts old changes after their times are dropped", () => {
    doTest([0, 10, 20, 5_000], 4_500, 3);
  });

  it("keeps few times while changes come without end", () => {
    const counter = new ChangeCounter(RETENTION_MS);
    for (let now = 0; now < 100_000; now += 10) counter.add(now);
    expect(counter.count).toBe(10_000);
    expect(counter.countUntil(99_490)).toBe(9_950);
  });
});
