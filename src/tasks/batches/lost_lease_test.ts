/** Requests in flight when the ledger's leader loses its lease. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  ScriptedEngines,
  spec,
  startRunnerWith,
  target,
} from "../../../tests/support/batch_runner_fixture.ts";
import type { OpenedRun } from "../../../tests/support/batch_runner_fixture.ts";

const TICK_MS = 50;

describe("a leader that loses its lease", () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  /** Loses the lease for a time while a run is open, and then gets it back. */
  function doTest(
    options: {
      readonly isAnswered: boolean;
      readonly lostMs: number;
    },
    expected: {
      /** Whether the run is cancelled when the lease is back. */
      readonly isCancelled: boolean;
      /** Number of runs of the item shortly afterwards. */
      readonly runs: number;
    },
  ): readonly OpenedRun[] {
    let hasLease = true;
    const engines = new ScriptedEngines();
    engines.areAnswered = options.isAnswered;
    const { step } = startRunnerWith(
      engines,
      [target("t1")],
      [spec(["x1"])],
      undefined,
      undefined,
      { canRunItems: () => hasLease, holdsLease: () => hasLease },
    );
    const { runs } = engines;
    hasLease = false;
    step(options.lostMs);
    expect(runs.map(({ isCancelled }) => isCancelled))
      .toEqual([expected.isCancelled]);
    hasLease = true;
    step(2 * TICK_MS);
    expect(runs).toHaveLength(expected.runs);
    return runs;
  }

  // Guards against a run that the network holds up and delivers later.
  it("cancels a run without a response, which starts again", () =>
    void doTest(
      { isAnswered: false, lostMs: 3 * TICK_MS },
      { isCancelled: true, runs: 2 },
    ));

  it("keeps a run whose target responds", () => {
    const [run] = doTest(
      { isAnswered: true, lostMs: 20 * TICK_MS },
      { isCancelled: false, runs: 1 },
    );
    run.sink.onEvent({ id: 1, data: "a" });
    run.sink.onEnd();
  });

  // Guards against lost work while the leader writes to a slow disk.
  it("keeps a run while a leader under its lease starts no others", () => {
    const engines = new ScriptedEngines();
    engines.areAnswered = false;
    let canRunItems = true;
    const { step } = startRunnerWith(
      engines,
      [target("t1")],
      [spec(["x1"])],
      undefined,
      undefined,
      { canRunItems: () => canRunItems, holdsLease: () => true },
    );
    canRunItems = false;
    step(10 * TICK_MS);
    const [run] = engines.runs;
    expect(run.isCancelled).toBe(false);
    expect(run.request.guard?.()).toBeUndefined();
  });

  // Guards against lost work where responses of the quorum wait to be read.
  it("keeps a run if the lease is back at the next tick", () =>
    void doTest(
      { isAnswered: false, lostMs: TICK_MS },
      { isCancelled: false, runs: 1 },
    ));
});
