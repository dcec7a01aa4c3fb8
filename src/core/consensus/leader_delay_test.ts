import { describe, expect, it } from "vitest";
import { LeaderDelay } from "./leader_delay.ts";

const MAX_MS = 1_000;
/** Time at which the process has warmed up, in milliseconds. */
const WARM_MS = 60_000;

describe(LeaderDelay.name, () => {
  function doTest(
    { now, ticks = [] }: {
      readonly now: number;
      /** Times and lags of ticks, in milliseconds. */
      readonly ticks?: readonly (readonly [number, number])[];
    },
    expected: number,
  ) {
    const delay = new LeaderDelay({ startedAt: 0, maxMs: MAX_MS });
    for (const [at, lagMs] of ticks) delay.onTick(at, lagMs);
    expect(delay.get(now)).toBe(expected);
  }

  it("asks for time while the process warms up", () => {
    doTest({ now: 1_000 }, 500);
  });

  it("asks for none while ticks are in time", () => {
    doTest({ now: WARM_MS, ticks: [[WARM_MS - 100, 0]] }, 0);
  });

  it("asks for more than the longest recent lag", () => {
    const ticks = [[WARM_MS, 300], [WARM_MS + 500, 10]] as const;
    doTest({ now: WARM_MS + 1_000, ticks }, 600);
  });

  it("no longer counts an old lag", () => {
    doTest({ now: WARM_MS + 6_000, ticks: [[WARM_MS, 300]] }, 0);
  });

  it("asks for no more than the maximum", () => {
    doTest({ now: WARM_MS, ticks: [[WARM_MS, 5_000]] }, MAX_MS);
  });
});
