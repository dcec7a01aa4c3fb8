import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { SampleWaiters } from "./sample_waiters.ts";

const WAIT_MS = 1_000;

describe(SampleWaiters.name, () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  async function doTest(during: (waiters: SampleWaiters) => void) {
    const waiters = new SampleWaiters();
    waiters.wake();
    const waits = Promise.all([waiters.wait(WAIT_MS), waiters.wait(WAIT_MS)]);
    during(waiters);
    await waits;
    expect(vi.getTimerCount()).toBe(0);
  }

  // Guards against reads that miss a sample while others wait for it, too.
  it("ends all waits, which leave no timer", () =>
    doTest((waiters) => waiters.wake()));

  it("ends a wait that is not woken in time", () =>
    doTest(() => vi.advanceTimersByTime(WAIT_MS)));
});
