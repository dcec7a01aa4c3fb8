import { describe, expect, it } from "vitest";
import {
  DataCentreReach,
  ProcessLag,
  PromptLocations,
  RunEstimator,
  TargetPace,
} from "../../core/batches/mod.ts";
import { target } from "../../../tests/support/batch_runner_fixture.ts";
import { Metrics } from "../../metrics/mod.ts";
import type { ItemRun } from "./item_run.ts";
import { RunLearner } from "./run_learner.ts";
import { RunTable } from "./run_table.ts";

const TICK_MS = 50;
const EVENT_MS = 16;
const STALL_MS = 300;

describe(RunLearner.name, () => {
  /**
   * Plays the events of eight runs at one target to a process that stalls each
   * second, and checks the paces after each event.
   */
  function doTest(playedMs: number, check: (pace: TargetPace) => void) {
    let now = 0;
    const targetPace = new TargetPace();
    const lag = new ProcessLag(TICK_MS).onTick(now);
    const learner = new RunLearner({
      runs: new RunTable(),
      targetPace,
      estimator: new RunEstimator(),
      prompts: new PromptLocations(),
      lag,
      reach: new DataCentreReach(),
      metrics: new Metrics({ tags: {} }),
      now: () => now,
    });
    const run = { target: at } as ItemRun;
    const readAt = Array.from({ length: 8 }, () => 0);
    let sentAt = 0;
    for (now = 1; now <= playedMs; now += 1) {
      const isStalled = now % 1_000 >= 1_000 - STALL_MS;
      if (isStalled) continue;
      if (now % TICK_MS === 0 || now % 1_000 === 0) learner.onTick();
      for (; sentAt + EVENT_MS <= now; sentAt += EVENT_MS) {
        for (const [i, earlier] of readAt.entries()) {
          learner.onEventGap(run, now - earlier);
          readAt[i] = now;
          check(targetPace);
        }
      }
    }
    return { targetPace, now };
  }

  const at = target("t1");

  // Failure: a stall of this process makes its only target look degraded.
  it("holds no target sick while its own process stalls", () =>
    void doTest(20_000, (pace) => {
      expect(pace.isPersistentlyDegraded(at, 20_000)).toBe(false);
      expect(pace.isDegraded(at, 0)).toBe(false);
    }));

  // Failure: stalls raise the long-run pace, which is sent to other instances.
  it("learns the long-run pace beside stalls", () => {
    const { targetPace, now } = doTest(20_000, () => {});
    expect(targetPace.isPaceKnown(at)).toBe(true);
    expect(targetPace.inherentPaceMs(at, now)).toBeCloseTo(EVENT_MS, 0);
    expect(targetPace.paceMs(at, now)).toBeLessThan(1.2 * EVENT_MS);
  });
});
