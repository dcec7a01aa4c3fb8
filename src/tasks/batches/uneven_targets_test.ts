import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  playUnevenLoad,
  type UnevenLoadOptions,
  type UnevenLoadReport,
} from "../../../tests/support/uneven_load.ts";
import type { KnownPaces } from "../../core/batches/mod.ts";
import { BatchRunner } from "./batch_runner.ts";

const TIMEOUT_MS = 120_000;
/** Moves of the first batch's 440 items, which meet unknown paces. */
const MAX_MOVES_FIRST = 60;

describe(`${BatchRunner.name} at uneven targets`, () => {
  beforeEach(() => vi.useFakeTimers());
  afterEach(() => vi.useRealTimers());

  function doTest(
    options: Partial<UnevenLoadOptions>,
    check: (report: UnevenLoadReport) => void,
  ) {
    const report = playUnevenLoad({ seed: 1, load: 0.6, ...options });
    console.info(expect.getState().currentTestName, JSON.stringify(report));
    expect(report.refused).toBe(0);
    expect(report.inTime).toBeGreaterThan(0.95);
    const movesFirst = report.moves - report.movesLearnt;
    expect(movesFirst).toBeLessThan(MAX_MOVES_FIRST);
    check(report);
  }

  it(
    "cuts no run of a slow target whose pace is known, at 40% of the room",
    () =>
      doTest({ load: 0.4 }, (report) => {
        const { inTimeFirst, inTimeLearnt, movesLearnt, slowShare } = report;
        expect(inTimeFirst).toBe(1);
        expect(movesLearnt).toBe(0);
        expect(inTimeLearnt).toBeGreaterThanOrEqual(0.99);
        expect(slowShare).toBeGreaterThan(0.05);
      }),
    TIMEOUT_MS,
  );

  it(
    "completes groups in time at 80% of the room",
    () =>
      doTest({ load: 0.8 }, (report) => {
        const { inTimeFirst, inTimeLearnt, movesLearnt, slowShare } = report;
        expect(inTimeFirst).toBe(1);
        expect(movesLearnt).toBe(0);
        expect(inTimeLearnt).toBeGreaterThanOrEqual(0.98);
        expect(slowShare).toBeGreaterThan(0.1);
      }),
    TIMEOUT_MS,
  );

  it(
    "completes most groups in time at 110% of the room",
    () =>
      doTest(
        { load: 1.1, playedMs: 12_000 },
        ({ inTimeLearnt, movesLearnt }) => {
          expect(movesLearnt).toBe(0);
          expect(inTimeLearnt).toBeGreaterThan(0.9);
        },
      ),
    TIMEOUT_MS,
  );

  it(
    "moves only the runs of a target that turns ten times slower",
    () =>
      doTest({
        onStep: (ms, [engine]) => {
          engine.slowdown = ms >= 5_000 && ms < 10_000 ? 10 : 1;
        },
      }, ({ inTimeLearnt, movesLearnt }) => {
        expect(movesLearnt).toBeGreaterThan(0);
        expect(movesLearnt).toBeLessThan(60);
        expect(inTimeLearnt).toBeGreaterThanOrEqual(0.97);
      }),
    TIMEOUT_MS,
  );

  it("goes on when a third of the targets is lost", () =>
    doTest({
      load: 0.5,
      onStep: (ms, engines, played) => {
        if (ms !== 5_000) return;
        for (const engine of engines.slice(12, 24)) played.lose(engine);
      },
    }, ({ inTimeLearnt, movesLearnt }) => {
      expect(movesLearnt).toBe(0);
      expect(inTimeLearnt).toBeGreaterThanOrEqual(0.95);
    }), TIMEOUT_MS);

  it.each([1 / 3, 3])(
    "bears estimates off by %f",
    (estimateFactor) =>
      doTest({ estimateFactor }, ({ inTimeLearnt, movesLearnt }) => {
        expect(movesLearnt).toBe(0);
        expect(inTimeLearnt).toBeGreaterThanOrEqual(0.98);
      }),
    TIMEOUT_MS,
  );

  it(
    "moves no run for events that come late now and then",
    () =>
      doTest({ lateShare: 0.01 }, ({ inTimeLearnt, movesLearnt }) => {
        expect(movesLearnt).toBe(0);
        expect(inTimeLearnt).toBeGreaterThanOrEqual(0.98);
      }),
    TIMEOUT_MS,
  );

  // Failure: a new leader learns paces anew, and moves runs of its first batch.
  it(
    "moves no run of the first batch of a leader that knows the paces",
    () => {
      let known: KnownPaces | undefined;
      playUnevenLoad({
        seed: 1,
        load: 0.6,
        playedMs: 5_000,
        onEnd: (runner) => known = runner.savePaces(),
      });
      doTest({
        seed: 2,
        playedMs: 9_000,
        onStart: (runner) => runner.loadPaces(known!),
      }, ({ moves, inTimeFirst }) => {
        expect(moves).toBe(0);
        expect(inTimeFirst).toBe(1);
      });
    },
    TIMEOUT_MS,
  );

  // Failure: gaps between events that waited unread count as slow targets.
  it(
    "moves no run while the leader's event loop stalls now and then",
    () =>
      doTest(
        { stalls: { everyMs: 1_000, forMs: 300 } },
        ({ inTimeLearnt, movesLearnt }) => {
          expect(movesLearnt).toBe(0);
          expect(inTimeLearnt).toBeGreaterThanOrEqual(0.98);
        },
      ),
    TIMEOUT_MS,
  );

  it(
    "spreads load over targets that are alike",
    () =>
      doTest({ paces: [0.85] }, ({ inTime, moves }) => {
        expect(moves).toBe(0);
        expect(inTime).toBeGreaterThanOrEqual(0.99);
      }),
    TIMEOUT_MS,
  );
});
