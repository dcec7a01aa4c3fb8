import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { LogCatchUp } from "./log_catch_up.ts";

const POSITION = 7;

describe(LogCatchUp.name, () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  /** Starts a replica; gets whether it has caught up after a time. */
  async function doTest(
    { ledAtMs, appliedAtMs, hasLeader = true }: {
      /** Time from which a leader tells its position. */
      readonly ledAtMs: number;
      /** Time at which the replica has applied the log up to there. */
      readonly appliedAtMs: number;
      readonly hasLeader?: boolean;
    },
    checkedAtMs: number,
  ): Promise<boolean> {
    const startedAt = performance.now();
    const elapsedMs = () => performance.now() - startedAt;
    let calls = 0;
    const catchUp = new LogCatchUp({
      readPosition: () =>
        elapsedMs() >= ledAtMs
          ? Promise.resolve(POSITION)
          : Promise.reject(new Error("No leader")),
      applied: () => elapsedMs() >= appliedAtMs ? POSITION : 0,
      hasLeader: () => hasLeader,
      onDone: () => calls += 1,
    }).start();
    await vi.advanceTimersByTimeAsync(checkedAtMs);
    catchUp.stop();
    expect(calls).toBe(catchUp.isDone ? 1 : 0);
    return catchUp.isDone;
  }

  it("ends once what the leader had is applied", async () => {
    expect(await doTest({ ledAtMs: 0, appliedAtMs: 500 }, 400)).toBe(false);
    expect(await doTest({ ledAtMs: 0, appliedAtMs: 500 }, 600)).toBe(true);
  });

  it("waits for a leader that is known and does not answer", async () => {
    const times = { ledAtMs: 8_000, appliedAtMs: 0 };
    expect(await doTest(times, 7_000)).toBe(false);
    expect(await doTest(times, 8_500)).toBe(true);
  });

  // Guards against a minority whose callers have no targets.
  it("ends after some time where no leader is known", async () => {
    const times = { ledAtMs: Infinity, appliedAtMs: 0, hasLeader: false };
    expect(await doTest(times, 2_500)).toBe(false);
    expect(await doTest(times, 3_500)).toBe(true);
  });
});
