import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  type OpenedRun,
  play,
  spec,
  startRunner,
  target,
} from "../../../tests/support/batch_runner_fixture.ts";
import { createItem } from "../../../tests/support/batch_spec.ts";
import { RunMover } from "./run_mover.ts";

describe(RunMover.name, () => {
  beforeEach(() => vi.useFakeTimers());
  afterEach(() => vi.useRealTimers());

  it("leaves a run whose silence is usual for its slow target", () => {
    const { engines, step } = startRunner(
      // Single slots leave no other target to which the run could move.
      ["t1", "t2", "t3"].map((id) => target(id, { slots: 1 })),
      [spec(["x1", "y1", "z1"])],
    );
    const [slow, ...others] = engines.runs;
    const [othersMs, slowMs, silentFromMs] = [100, 240, 9_600];
    for (let ms = 20; ms <= silentFromMs + 1_200; ms += 20) {
      step(20);
      if (ms % othersMs === 0) {
        const id = ms / othersMs;
        for (const run of others) run.sink.onEvent({ id, data: "e" });
      }
      if (ms % slowMs !== 0 || ms > silentFromMs) continue;
      slow.sink.onEvent({ id: ms / slowMs, data: "e" });
    }
    expect(slow.isCancelled).toBe(false);
  });

  it("cuts no run when this process is held up and events wait to be read", () => {
    const { engines, step } = startRunner(
      [target("t1"), target("t2")],
      [spec(["x1"])],
    );
    const [run] = engines.runs;
    play(run, { from: 1, to: 4, gapMs: 30 }, step);
    vi.setSystemTime(Date.now() + 1_500);
    step(50);
    run.sink.onEvent({ id: 5, data: "e" });
    step(200);
    expect(run.isCancelled).toBe(false);
    step(600);
    expect(run.isCancelled).toBe(true);
  });

  it("goes on at once with a run that it moves off a sick target", () => {
    const { engines, step } = startRunner(
      [target("t1"), target("t2"), target("t3")],
      [spec(["x1", "y1", "z1"])],
    );
    const [sick, ...others] = engines.runs;
    let received = 0;
    const [eventMs, sickMs, sickFromMs] = [20, 300, 600];
    for (let ms = eventMs; ms <= 6_000; ms += eventMs) {
      step(eventMs);
      if (sick.isCancelled) break;
      for (const run of others) {
        run.sink.onEvent({ id: ms / eventMs, data: "e" });
      }
      if (ms > sickFromMs && ms % sickMs !== 0) continue;
      received += 1;
      sick.sink.onEvent({ id: received, data: "e" });
    }
    const moved = engines.active.find(({ request }) =>
      request.id === sick.request.id
    );
    expect(moved?.request.resumeAfter).toBe(received);
    expect(moved?.request.target.id).not.toBe(sick.request.target.id);
  });

  describe("at slow targets", () => {
    const SLOW_MS = 60;
    const FAST_MS = 20;

    /** Sends the events of runs, of which the first is three times slower. */
    function playRuns(
      [slow, ...others]: readonly OpenedRun[],
      { fromMs, toMs }: { readonly fromMs: number; readonly toMs: number },
      step: (ms: number) => void,
    ) {
      for (let ms = fromMs + FAST_MS; ms <= toMs; ms += FAST_MS) {
        step(FAST_MS);
        const id = (ms - fromMs) / FAST_MS;
        for (const run of others) run.sink.onEvent({ id, data: "e" });
        if (slow.isCancelled || (ms - fromMs) % SLOW_MS !== 0) continue;
        slow.sink.onEvent({ id: (ms - fromMs) / SLOW_MS, data: "e" });
      }
    }

    function startThree() {
      const targets = ["t1", "t2", "t3"].map((id) => target(id, { slots: 2 }));
      const items = ["x1", "y1", "z1"].map((id) =>
        createItem(id, { expectedTokens: id === "x1" ? 400 : 100 })
      );
      return startRunner(targets, [spec([], { items })]);
    }

    it("moves a run once that began before its target's pace was known", () => {
      const { engines, metrics, step } = startThree();
      const [slow] = engines.runs;
      playRuns(engines.runs.slice(), { fromMs: 0, toMs: 1_400 }, step);
      expect(slow.isCancelled).toBe(true);
      const moved = engines.active.find(({ request }) =>
        request.id === slow.request.id
      );
      expect(moved?.request.target.id).not.toBe(slow.request.target.id);
      expect(metrics.values()["items.moved.misplaced"]).toBe(1);
    });

    it("leaves a run that began at a target known to be slow", () => {
      const { engines, metrics, state, step, runner } = startThree();
      const first = engines.runs.slice();
      playRuns(first, { fromMs: 0, toMs: 1_260 }, step);
      for (const { sink } of engines.active) sink.onEnd();
      const items = ["a", "b", "c", "d", "e", "f"].map((id) => createItem(id));
      state.apply({
        type: "accept",
        spec: spec([], { id: "b2", objectiveMs: 60_000, items }),
      });
      runner.schedulePlacement();
      step(20);
      const { id } = first[0].request.target;
      const second = engines.active.filter((run) => !first.includes(run));
      const slow = second.find(({ request }) => request.target.id === id);
      for (const { sink } of second.filter((run) => run !== slow)) {
        sink.onEvent({ id: 1, data: "e" });
        sink.onEnd();
      }
      playRuns([slow!], { fromMs: 0, toMs: 1_800 }, step);
      expect(slow!.isCancelled).toBe(false);
      expect(metrics.values()["items.moved"]).toBe(undefined);
    });
  });
});
