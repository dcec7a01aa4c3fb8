import { describe, expect, it } from "vitest";
import { StartPacer } from "./start_pacer.ts";

const TICK_MS = 50;
const ELECTION_MS = 500;

describe(StartPacer.name, () => {
  /**
   * Starts items in a process where each start takes some time, and gets the
   * longest time for which the process was busy and the time until all started.
   */
  function doTest(
    { items, startMs, isPaced = true }: {
      items: number;
      startMs: number;
      isPaced?: boolean;
    },
  ) {
    const pacer = new StartPacer(TICK_MS);
    let now = 0;
    let left = items;
    let busiestMs = 0;
    while (left > 0) {
      pacer.onTick(now);
      const starts = Math.min(left, isPaced ? pacer.left : left);
      pacer.use(starts);
      left -= starts;
      busiestMs = Math.max(busiestMs, starts * startMs);
      now += Math.max(TICK_MS, starts * startMs);
    }
    return { busiestMs, endedAt: now };
  }

  // Load: 400 items wait for a leader that has just started.
  it("leaves a slow process time for its heartbeats", () => {
    const unpaced = doTest({ items: 400, startMs: 3, isPaced: false });
    expect(unpaced.busiestMs).toBeGreaterThan(ELECTION_MS);
    const { busiestMs, endedAt } = doTest({ items: 400, startMs: 3 });
    expect(busiestMs).toBeLessThan(ELECTION_MS / 2);
    expect(endedAt).toBeLessThan(2 * 400 * 3);
  });

  it("lets a fast process start all it has soon", () => {
    expect(doTest({ items: 400, startMs: 0.1 }).endedAt).toBeLessThan(600);
  });

  it("never stops starting, however slow the process is", () => {
    const { endedAt } = doTest({ items: 40, startMs: 100 });
    expect(endedAt).toBeLessThan(40 * 100 * 2);
  });

  it("allows no more starts than are left until the next tick", () => {
    const pacer = new StartPacer(TICK_MS).onTick(0).use(46);
    expect(pacer.left).toBe(2);
    expect(pacer.use(9).left).toBe(0);
    expect(pacer.onTick(TICK_MS).left).toBe(56);
  });

  it("restarts with each leadership", () => {
    const pacer = new StartPacer(TICK_MS);
    for (let now = 0; now < 5_000; now += TICK_MS) pacer.onTick(now);
    expect(pacer.left).toBe(256);
    expect(pacer.reset().onTick(60_000).left).toBe(48);
  });
});
