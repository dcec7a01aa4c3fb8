import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  type OpenedRun,
  play,
  spec,
  startRunner,
  target,
} from "../../../tests/support/batch_runner_fixture.ts";
import { ResultState } from "../../core/batches/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { WithheldReason } from "../send_guard.ts";
import { BatchRunner } from "./batch_runner.ts";
import { RunFailure } from "./engine_port.ts";

describe(BatchRunner.name, () => {
  beforeEach(() => vi.useFakeTimers());
  afterEach(() => vi.useRealTimers());

  it("reads the targets once per round, however many items wait", () => {
    const targets = [target("t1"), target("t2", { slots: 0 })];
    const ids = Array.from({ length: 60 }, (_, i) => `x${i}`);
    const readyOf = vi.spyOn(TargetRegistry.prototype, "readyOf");
    const { engines, step } = startRunner(targets, [spec(ids)]);
    expect(engines.runs).toHaveLength(4);
    readyOf.mockClear();
    step(500);
    const rounds = 10;
    expect(readyOf.mock.calls.length).toBeLessThanOrEqual(rounds);
    readyOf.mockRestore();
  });

  function doTest(
    end: (run: OpenedRun) => void,
    expected: { state: ResultState; text: string } | undefined,
  ) {
    const { state, engines } = startRunner([target("t1")], [spec(["x1"])]);
    const [run] = engines.runs;
    run.sink.onEvent({ id: 1, data: "a" });
    run.sink.onEvent({ id: 2, data: "b" });
    end(run);
    const result = state.get("b1")?.getResult("x1");
    expect(result && { state: result.state, text: result.text })
      .toEqual(expected);
  }

  it("logs when a run leaves the process, and how long that took", () => {
    const { engines, step } = startRunner([target("t1")], [spec(["x1"])]);
    const event = vi.spyOn(Logger.prototype, "event");
    step(30);
    engines.runs[0].request.onSent?.();
    const fields = { batch: "b1", item: "x1", target: "t1" };
    expect(event).toHaveBeenCalledWith("itemSent", {
      ...fields,
      waitedMs: expect.closeTo(30, -2),
    });
    event.mockRestore();
  });

  it("logs why a run was not sent", () => {
    const { engines } = startRunner([target("t1")], [spec(["x1"])]);
    const event = vi.spyOn(Logger.prototype, "event");
    engines.runs[0].sink
      .onFailure(RunFailure.Withheld, WithheldReason.NotLeading);
    expect(event).toHaveBeenCalledWith(
      "itemWithheld",
      expect.objectContaining({ item: "x1", reason: "notLeading" }),
    );
    event.mockRestore();
  });

  it("stores the complete text of a run", () => {
    doTest((run) => run.sink.onEnd(), {
      state: ResultState.Completed,
      text: "a\nb",
    });
  });

  it("stores no result of a run that breaks off", () => {
    doTest((run) => run.sink.onFailure(RunFailure.Broken, "reset"), undefined);
  });

  it("abandons an item that can never succeed", () => {
    doTest((run) => run.sink.onFailure(RunFailure.Impossible, "422"), {
      state: ResultState.Abandoned,
      text: "a\nb",
    });
  });

  it("resumes at another target after the last event", () => {
    const { state, engines, step } = startRunner(
      [target("t1"), target("t2")],
      [spec(["x1"])],
    );
    const [first] = engines.runs;
    first.sink.onEvent({ id: 1, data: "a" });
    first.sink.onFailure(RunFailure.Broken, "reset");
    step(200);
    const second = engines.runs[1];
    expect(second.request.target.id).not.toBe(first.request.target.id);
    expect(second.request.resumeAfter).toBe(1);
    second.sink.onEvent({ id: 2, data: "b" });
    second.sink.onEnd();
    expect(state.get("b1")?.getResult("x1")?.text).toBe("a\nb");
  });

  // Guards against items, begun or resumed, outside the homes of their batch.
  it("runs the items of each batch in its homes only", () => {
    const { engines, step } = startRunner(
      [target("t1", { dataCentre: "a" }), target("t2", { dataCentre: "b" })],
      [
        spec(["x1"], { id: "b1", homes: ["east"] }),
        spec(["y1"], { id: "b2", homes: ["north"] }),
        spec(["z1"], { id: "b3", homes: [] }),
      ],
      undefined,
      { a: "north", b: "east" },
    );
    for (const { sink } of [...engines.runs]) {
      sink.onEvent({ id: 1, data: "a" });
      sink.onFailure(RunFailure.Refused, "503");
    }
    step(400);
    const placed = engines.runs
      .map(({ request }) => `${request.id} ${request.target.id}`);
    expect(placed.sort()).toEqual(["x1 t2", "x1 t2", "y1 t1", "y1 t1"]);
  });

  // Guards against items that wait for one connect timeout after another while
  // a data centre is cut off.
  it("sends items elsewhere once several targets of a data centre time out", () => {
    const cutOff = ["a1", "a2", "a3", "a4"];
    const { engines, step } = startRunner(
      [
        ...cutOff.map((id) => target(id, { dataCentre: "a", slots: 1 })),
        target("b1", { dataCentre: "b", slots: 1 }),
      ],
      [spec(["x1", "x2", "x3", "x4", "x5"])],
    );
    const isOfCutOff = ({ request }: OpenedRun) =>
      request.target.id.startsWith("a");
    const [first, second] = engines.runs.filter(isOfCutOff);
    const openedBefore = engines.runs.length;
    for (const { sink } of [first, second]) {
      sink.onFailure(RunFailure.Unreachable, "Connect timeout");
    }
    const onB = engines.runs.find((run) => !isOfCutOff(run));
    onB?.sink.onEvent({ id: 1, data: "a" });
    onB?.sink.onEnd();
    step(600);
    const opened = engines.runs.slice(openedBefore);
    expect(opened.map(({ request }) => request.target.id)).toEqual(["b1"]);
  });

  // Guards against items sent to an evacuated data centre, and against runs
  // that an evacuation cuts short.
  it("goes on elsewhere with a run that breaks in an evacuated data centre", () => {
    const { engines, registry, runner, step } = startRunner(
      [target("t1", { dataCentre: "a" }), target("t2", { dataCentre: "b" })],
      [spec(["x1"])],
    );
    const [first] = engines.runs;
    const { dataCentre } = registry
      .getReportOrThrow(first.request.target.id);
    registry.setEvacuated(new Set([dataCentre]));
    runner.onTargetsChanged();
    step(100);
    expect(engines.runs).toHaveLength(1);
    first.sink.onEvent({ id: 1, data: "a" });
    first.sink.onFailure(RunFailure.Refused, "503");
    step(400);
    expect(engines.runs.slice(1).map(({ request }) => request.target.id))
      .toEqual(["t2"]);
  });

  it("places an item again after targets have died under it in bursts", () => {
    const { engines, step } = startRunner(
      [target("t1"), target("t2"), target("t3")],
      [spec(["x1"])],
    );
    for (let i = 0; i < 15; i += 1) {
      const run = engines.active.at(-1);
      run?.sink.onFailure(RunFailure.Broken, "reset");
      if (run !== undefined) run.isCancelled = true;
      step(400);
    }
    step(4_000);
    expect(engines.active).toHaveLength(1);
  });

  it("goes on with a one-version item at a target that refused it just now", () => {
    const { engines, step } = startRunner(
      [target("t1"), target("t2", { versions: { m: 6 } })],
      [spec(["x1"], { isSingleVersion: true })],
    );
    const [first] = engines.runs;
    expect(first.request.target.id).toBe("t1");
    first.sink.onEvent({ id: 1, data: "a" });
    first.sink.onFailure(RunFailure.Refused, "503");
    step(900);
    expect(engines.runs).toHaveLength(2);
    expect(engines.runs[1].request).toMatchObject({
      target: { id: "t1" },
      resumeAfter: 1,
      expectVersion: 5,
    });
  });

  it("begins a one-version item anew if no target has its version any more", () => {
    const { engines, step, registry } = startRunner(
      [target("t1"), target("t2")],
      [spec(["x1"], { isSingleVersion: true })],
    );
    const [first] = engines.runs;
    first.sink.onEvent({ id: 1, data: "a" });
    first.sink.onFailure(RunFailure.Broken, "reset");
    for (const id of ["t1", "t2"]) {
      registry.recordVersion({
        target: id,
        incarnation: registry.getReportOrThrow(id).incarnation,
        model: "m",
        version: 6,
      });
    }
    step(4_000);
    const second = engines.runs[1];
    expect(second?.request).toMatchObject({
      resumeAfter: 0,
      expectVersion: undefined,
    });
  });

  it("cancels a run that skips an event and resumes after the last one", () => {
    const { engines, step } = startRunner([target("t1")], [spec(["x1"])]);
    engines.runs[0].sink.onEvent({ id: 1, data: "a" });
    engines.runs[0].sink.onEvent({ id: 3, data: "c" });
    expect(engines.runs[0].isCancelled).toBe(true);
    step(500);
    expect(engines.runs[1].request.resumeAfter).toBe(1);
  });

  it("moves a run off a target that stops sending events", () => {
    const { engines, step } = startRunner(
      [target("t1"), target("t2")],
      [spec(["x1"])],
    );
    play(engines.runs[0], { from: 1, to: 4, gapMs: 30 }, step);
    step(700);
    expect(engines.runs[0].isCancelled).toBe(true);
    expect(engines.runs[1].request.resumeAfter).toBe(4);
  });

  it("lets a slow but sound target complete an item", () => {
    const { state, engines, step } = startRunner([target("t1")], [
      spec(["x1"]),
    ]);
    const slowMs = 3_500;
    let played: OpenedRun | undefined;
    let playedMs = 0;
    for (let ms = 0; ms < 60_000; ms += 50) {
      step(50);
      const run = engines.active.at(-1);
      if (run !== played) playedMs = 0;
      played = run;
      playedMs += 50;
      if (run === undefined || playedMs < slowMs) continue;
      run.sink.onEvent({ id: 1, data: "late" });
      run.sink.onEnd();
      break;
    }
    expect(state.get("b1")?.getResult("x1")?.text).toBe("late");
  });

  it("ends runs without events however often bytes arrive", () => {
    const { engines, step } = startRunner([target("t1")], [spec(["x1"])]);
    for (let ms = 0; ms < 30_000; ms += 100) {
      engines.active.at(-1)?.sink.onVersion(5);
      step(100);
    }
    expect(engines.runs.length).toBeGreaterThan(3);
  });

  it("moves runs off a target that has become slow", () => {
    const { engines, step } = startRunner(
      [target("t1"), target("t2"), target("t3")],
      [spec(["x1", "y1", "z1"])],
    );
    const slow = engines.runs[0];
    const others = engines.runs.slice(1);
    const slowId = slow.request.target.id;
    for (let id = 1; id <= 12; id += 1) {
      for (let i = 0; i < 4; i += 1) {
        step(30);
        const event = 4 * (id - 1) + i + 1;
        for (const run of others) run.sink.onEvent({ id: event, data: "e" });
      }
      if (!slow.isCancelled) slow.sink.onEvent({ id, data: "e" });
    }
    expect(slow.isCancelled).toBe(true);
    const moved = engines.runs.find((run) =>
      run !== slow && run.request.id === slow.request.id
    );
    expect(moved?.request.target.id).not.toBe(slowId);
  });

  it("sends nothing to a target whose weights are too old", () => {
    const { engines, registry, step, runner } = startRunner(
      [target("t1", { versions: { m: 4 } })],
      [spec(["x1"])],
    );
    step(500);
    expect(engines.runs).toEqual([]);
    registry.recordVersion({
      target: "t1",
      incarnation: 1,
      model: "m",
      version: 5,
    });
    runner.onTargetsChanged();
    step(100);
    expect(engines.runs).toHaveLength(1);
  });

  it("sends no items of a model to a target that is loading it", () => {
    const { engines, runner, state, registry, step } = startRunner(
      [target("t1")],
      [],
    );
    const load = { target: "t1", incarnation: 1, model: "m", version: 6 };
    runner.onLoadStarted(load);
    state.apply({ type: "accept", spec: spec(["x1"]) });
    runner.schedulePlacement();
    step(500);
    expect(engines.runs).toEqual([]);
    registry.recordVersion(load);
    runner.onTargetsChanged();
    step(100);
    expect(engines.runs).toHaveLength(1);
  });

  it("cancels all runs of a batch that has ended", () => {
    const { engines, state, runner, step } = startRunner(
      [target("t1")],
      [spec(["x1", "x2"])],
    );
    state.apply({ type: "end", batch: "b1" });
    runner.onBatchEnded("b1");
    expect(engines.active).toEqual([]);
    step(1_000);
    expect(engines.runs).toHaveLength(2);
  });

  it("reuses the result of an item that is resubmitted", () => {
    const again = spec(["x1", "x2"], { id: "b2" });
    const { state, engines } = startRunner(
      [target("t1")],
      [spec(["x1", "x2"]), again],
      (s) => {
        const result = {
          id: "x1",
          state: ResultState.Completed,
          text: "old",
          versions: [5],
        };
        s.apply({ type: "list", records: [{ batch: "b1", result }] });
        s.apply({ type: "end", batch: "b1" });
      },
    );
    expect(state.get("b2")?.getResult("x1")?.text).toBe("old");
    expect(engines.runs.map((run) => run.request.id)).toEqual(["x2"]);
  });

  it("does not reuse a result from weights that are too old", () => {
    const again = spec(["x1"], { id: "b2", minVersion: 6 });
    const { state } = startRunner(
      [target("t1")],
      [spec(["x1"]), again],
      (s) => {
        const result = {
          id: "x1",
          state: ResultState.Completed,
          text: "old",
          versions: [5],
        };
        s.apply({ type: "list", records: [{ batch: "b1", result }] });
      },
    );
    expect(state.get("b2")?.getResult("x1")).toBeUndefined();
  });

  it("stores the partial text of long runs", () => {
    const { engines, step, storedTexts } = startRunner([target("t1")], [
      spec(["x1"]),
    ]);
    play(engines.runs[0], { from: 1, to: 20, gapMs: 50 }, step);
    step(600);
    expect(storedTexts.flatMap((record) => record.pieces).slice(0, 20))
      .toEqual(Array.from({ length: 20 }, (_, i) => `e${i + 1}`));
  });

  it("resumes from the longest text whose versions are allowed", () => {
    const older = spec(["x1"], { id: "b0", minVersion: 3 });
    const pieces = (n: number) => Array.from({ length: n }, (_, i) => `e${i}`);
    const { engines } = startRunner(
      [target("t1")],
      [older, spec(["x1"])],
      (s) => {
        const common = { item: "x1", after: 0, software: "v1" };
        s.apply({
          type: "keep",
          records: [
            { ...common, batch: "b0", pieces: pieces(9), versions: [3] },
            { ...common, batch: "b1", pieces: pieces(4), versions: [5] },
          ],
        });
        s.apply({ type: "end", batch: "b0" });
      },
    );
    expect(engines.runs[0].request.resumeAfter).toBe(4);
  });

  /** Sends events until they would exceed any bound. */
  function sendWithoutEnd({ sink }: OpenedRun, data: string) {
    for (let id = 1; id <= 100_000; id += 1) sink.onEvent({ id, data });
  }

  it("begins an item anew whose output has no end, at another target", () => {
    const { state, engines, step, storedTexts } = startRunner(
      [target("t1"), target("t2")],
      [spec(["x1"], { maxAttempts: 3 })],
    );
    const [first] = engines.runs;
    play(first, { from: 1, to: 20, gapMs: 50 }, step);
    expect(storedTexts).not.toEqual([]);
    for (let id = 21; !first.isCancelled && id < 10_000; id += 1) {
      first.sink.onEvent({ id, data: "x".repeat(1_000) });
    }
    expect(first.isCancelled).toBe(true);
    step(500);
    const [, second] = engines.runs;
    expect(second.request.target.id).not.toBe(first.request.target.id);
    expect(second.request.resumeAfter).toBe(0);
    second.sink.onEvent({ id: 1, data: "a" });
    second.sink.onEnd();
    expect(state.get("b1")?.getResult("x1")).toMatchObject({
      state: ResultState.Completed,
      text: "a",
    });
  });

  for (const [name, data] of [["empty", ""], ["long", "x".repeat(60_000)]]) {
    it(`abandons an item whose output is ${name} events without end everywhere`, () => {
      const { state, engines, step } = startRunner(
        [target("t1"), target("t2")],
        [spec(["x1"], { maxAttempts: 2 })],
      );
      sendWithoutEnd(engines.runs[0], data);
      step(500);
      expect(state.get("b1")?.getResult("x1")).toBeUndefined();
      sendWithoutEnd(engines.runs[1], data);
      expect(state.get("b1")?.getResult("x1")).toMatchObject({
        state: ResultState.Abandoned,
        text: "",
      });
    });
  }

  it("abandons an item after the maximum number of failed attempts", () => {
    const { state, engines, step } = startRunner(
      [target("t1"), target("t2")],
      [spec(["x1"], { maxAttempts: 2 })],
    );
    engines.runs[0].sink.onFailure(RunFailure.Failed, "500");
    step(500);
    expect(state.get("b1")?.getResult("x1")).toBeUndefined();
    engines.runs[1].sink.onFailure(RunFailure.Failed, "500");
    expect(state.get("b1")?.getResult("x1")?.state)
      .toBe(ResultState.Abandoned);
  });
});
