import { describe, expect, it } from "vitest";
import { ElectionTimer } from "./election_timer.ts";

describe(ElectionTimer.name, () => {
  function create(random: number, maxElectionDelayMs?: number) {
    return new ElectionTimer({
      times: {
        heartbeatMs: 100,
        electionMs: 1_000,
        clockRateError: 0,
        maxElectionDelayMs,
      },
      random: () => random,
      now: 0,
    });
  }

  it("adds up to half a timeout at the start, and up to a whole one later", () => {
    const timer = create(1);
    expect(timer.dueAt).toBe(1_500);
    expect(timer.restart(100).dueAt).toBe(2_100);
  });

  it("counts a start as a contact until the minimum timeout", () => {
    const timer = create(0);
    expect(timer.hasContact(999)).toBe(true);
    expect(timer.hasContact(1_000)).toBe(false);
  });

  it("adds the delay that a leader asks for, up to the maximum", () => {
    const timer = create(0, 300).onContact(2_000, 900);
    expect(timer.dueAt).toBe(3_300);
    expect(timer.hasContact(3_299)).toBe(true);
    expect(timer.hasContact(3_300)).toBe(false);
  });

  it("adds no delay without a maximum", () =>
    expect(create(0).onContact(2_000, 900).dueAt).toBe(3_000));

  it("drops the delay after a timeout, but not at a vote for another", () => {
    const timer = create(0, 300).onContact(2_000, 300);
    expect(timer.restart(2_100).dueAt).toBe(3_400);
    expect(timer.onTimeout(3_400).dueAt).toBe(4_400);
  });
});
