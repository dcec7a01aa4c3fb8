import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  play,
  spec,
  startRunner,
  target,
} from "../../../tests/support/batch_runner_fixture.ts";
import { RunMover } from "./run_mover.ts";

describe(RunMover.name, () => {
  beforeEach(() => vi.useFakeTimers());
  afterEach(() => vi.useRealTimers());

  it("leaves a run whose silence is usual for its slow target", () => {
    const { engines, step } = startRunner(
      [target("t1"), target("t2"), target("t3")],
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
});
