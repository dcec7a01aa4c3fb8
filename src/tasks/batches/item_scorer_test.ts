import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createItem, createSpec } from "../../../tests/support/batch_spec.ts";
import {
  createPolicy,
  createRoute,
} from "../../../tests/support/policy_document.ts";
import { createReport } from "../../../tests/support/target_report.ts";
import { createLimiter } from "../../../tests/support/target_limiter.ts";
import {
  type BatchSpec,
  BatchState,
  type ResultRecord,
} from "../../core/batches/mod.ts";
import { PolicyView } from "../../core/policy/mod.ts";
import { TargetRegistry } from "../../core/registry/mod.ts";
import { Logger } from "../../logging/mod.ts";
import { Metrics } from "../../metrics/mod.ts";
import type { AttemptOutcome, CallAttempt, TargetPort } from "../calls/mod.ts";
import { WithheldReason } from "../send_guard.ts";
import { BatchRunner } from "./batch_runner.ts";
import type { EnginePort, RunRequest, RunSink } from "./engine_port.ts";
import { ItemScorer } from "./item_scorer.ts";

const SLOTS = 4;
const MAX_ATTEMPTS = 2;

interface OpenCall {
  readonly attempt: CallAttempt;
  readonly settle: (outcome: AttemptOutcome) => void;
}

/** Holds the scoring calls until a test answers them. */
class ScriptedService implements TargetPort {
  readonly calls: OpenCall[] = [];

  send(attempt: CallAttempt): Promise<AttemptOutcome> {
    return new Promise((settle) => this.calls.push({ attempt, settle }));
  }

  stream(attempt: CallAttempt): Promise<AttemptOutcome> {
    return this.send(attempt);
  }

  isRefusing(): Promise<boolean> {
    return Promise.resolve(false);
  }

  closeIdleExcept(): void {}
}

function answered(status: number, body = ""): AttemptOutcome {
  const isNotRun = status === 503;
  const answer = { status, headers: [], body: Buffer.from(body) };
  return { type: "answered", answer, isNotRun, isMisdirected: false };
}

const POLICY = new PolicyView(createPolicy({
  routes: [createRoute({
    name: "scores",
    prefix: "/score/",
    objectiveMs: 1_000,
    shares: [{ service: "scorers", weight: 1 }],
    maxAttempts: MAX_ATTEMPTS,
    isAnonymous: true,
  })],
}));

function spec(ids: readonly string[], fields: Partial<BatchSpec> = {}) {
  return createSpec({
    id: "b1",
    acceptedAt: Date.now(),
    giveUpMs: 60_000,
    items: ids.map((id) =>
      createItem(id, {
        scoring: {
          id: `score-${id}`,
          host: "h",
          path: "/score/x",
          body: Buffer.from(id),
        },
      })
    ),
    ...fields,
  });
}

describe(ItemScorer.name, () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  function start(
    specs: readonly BatchSpec[],
    state = new BatchState(),
    canRunItems = () => true,
  ) {
    const service = new ScriptedService();
    const registry = new TargetRegistry();
    for (const [id, name] of [["e1", "s"], ["p1", "scorers"]]) {
      const address = `127.0.0.1:${id.charCodeAt(0)}`;
      const fields = { id, service: name, address, slots: SLOTS };
      registry.merge(createReport({ ...fields, versions: { m: 1 } }), 0);
    }
    const runs: { request: RunRequest; sink: RunSink }[] = [];
    const engines: EnginePort = {
      open: (request, sink) => {
        runs.push({ request, sink });
        sink.onVersion(1);
        return { cancel: () => {} };
      },
      closeIdleExcept: () => {},
    };
    for (const batch of specs) state.apply({ type: "accept", spec: batch });
    const results: ResultRecord[] = [];
    const runner = new BatchRunner({
      state: () => state,
      registry,
      engines,
      scoring: {
        targets: service,
        policy: () => POLICY,
        scoreOf: ({ status, body }) =>
          status === 200 ? Buffer.from(body).toString() : undefined,
      },
      logger: new Logger({ instance: "test", level: "error" }),
      metrics: new Metrics({ tags: {} }),
      dataCentre: "a",
      now: () => Date.now(),
      canRunItems,
      holdsLease: canRunItems,
      onSigns: () => {},
      limiter: createLimiter(registry),
      storeResult: (record) => {
        results.push(record);
        state.apply({ type: "list", records: [record] });
        runner.onResultStored(record.batch, record.result.id);
      },
      storeCompleteText: (record) => {
        // The write takes a turn, as it does in the replicated log.
        setTimeout(() => {
          state.apply({ type: "keep", records: [record] });
          runner.onTextStored(record.batch, record.item);
        });
      },
      storePartialTexts: (records) => state.apply({ type: "keep", records }),
    }).start();
    return { state, service, runner, runs, results };
  }

  /** Lets the engine complete an item with two events. */
  function complete({ sink }: { sink: RunSink }): void {
    sink.onEvent({ id: 1, data: "one" });
    sink.onEvent({ id: 2, data: "two" });
    sink.onEnd();
  }

  const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

  it("calls only after the complete text is stored", async () => {
    const { state, service, runs } = start([spec(["x1"])]);
    await advance(20);
    complete(runs[0]);
    expect(service.calls).toHaveLength(0);
    await advance(20);
    expect(service.calls).toHaveLength(1);
    expect(state.get("b1")?.hasCompleteText("x1")).toBe(true);
    const { call, workspace } = service.calls[0].attempt;
    expect({ id: call.id, key: call.key, workspace })
      .toEqual({ id: "score-x1", key: undefined, workspace: undefined });
    service.calls[0].settle(answered(200, "stamp"));
    await advance(20);
    expect(state.get("b1")?.getResult("x1")).toEqual({
      id: "x1",
      state: "completed",
      text: "one\ntwo",
      versions: [1],
      score: "stamp",
    });
  });

  it("repeats only the call after a change of the leader", async () => {
    const first = start([spec(["x1"])]);
    await advance(20);
    complete(first.runs[0]);
    await advance(20);
    first.runner.stop();
    first.service.calls[0].settle(answered(200, "late"));
    const second = start([], first.state);
    await advance(100);
    expect(first.results).toEqual([]);
    expect(second.runs).toEqual([]);
    expect(second.service.calls.map(({ attempt }) => attempt.call.id))
      .toEqual(["score-x1"]);
  });

  it("abandons an item whose call fails too often, not before", async () => {
    const { state, service, runs } = start([spec(["x1"])]);
    await advance(20);
    complete(runs[0]);
    for (let i = 0; i < MAX_ATTEMPTS; i += 1) {
      await advance(200);
      expect(state.get("b1")?.getResult("x1")).toBeUndefined();
      service.calls[i].settle(answered(500));
    }
    await advance(200);
    expect(state.get("b1")?.getResult("x1")?.state).toBe("abandoned");
    expect(service.calls).toHaveLength(MAX_ATTEMPTS);
    expect(runs).toHaveLength(1);
  });

  it("retries refusals until the item may be given up", async () => {
    const { state, service, runs } = start([spec(["x1"])]);
    await advance(20);
    complete(runs[0]);
    for (let i = 0; i < 10; i += 1) {
      await advance(1_100);
      service.calls.at(-1)?.settle(answered(503));
    }
    await advance(1_100);
    expect(service.calls.length).toBeGreaterThan(5);
    expect(state.get("b1")?.getResult("x1")).toBeUndefined();
  });

  it("leaves half of the service's slots to others", async () => {
    const ids = ["x1", "x2", "x3", "x4"];
    const { service, runs } = start([spec(ids)]);
    await advance(20);
    for (const run of [...runs]) complete(run);
    await advance(20);
    expect(service.calls).toHaveLength(SLOTS / 2);
    service.calls[0].settle(answered(200, "stamp"));
    await advance(20);
    expect(service.calls).toHaveLength(SLOTS / 2 + 1);
  });

  it("cancels the calls of a batch that has ended", async () => {
    const { state, service, runner, runs } = start([spec(["x1"])]);
    await advance(20);
    complete(runs[0]);
    await advance(20);
    state.apply({ type: "end", batch: "b1" });
    runner.onBatchEnded("b1");
    expect(service.calls[0].attempt.signal.aborted).toBe(true);
    service.calls[0].settle(answered(200, "late"));
    await advance(500);
    expect(state.get("b1")?.getResult("x1")).toBeUndefined();
    expect(service.calls).toHaveLength(1);
  });

  // Guards against a call that the network holds up and delivers later.
  it("cancels its calls when the lease is lost, and sends them again", async () => {
    let hasLease = true;
    const { service, runs } = start(
      [spec(["x1"])],
      undefined,
      () => hasLease,
    );
    await advance(20);
    complete(runs[0]);
    await advance(20);
    hasLease = false;
    await advance(1_000);
    expect(service.calls[0].attempt.signal.aborted).toBe(true);
    expect(service.calls).toHaveLength(1);
    hasLease = true;
    await advance(100);
    expect(service.calls).toHaveLength(2);
  });

  // Guards against a call that is sent when the next leader has seen the end.
  it("sends no call once the lease has ended, or the batch", async () => {
    let hasLease = true;
    const { state, service, runs } = start(
      [spec(["x1"])],
      undefined,
      () => hasLease,
    );
    await advance(20);
    complete(runs[0]);
    await advance(20);
    const { guard } = service.calls[0].attempt;
    expect(guard?.()).toBeUndefined();
    hasLease = false;
    expect(guard?.()).toBe(WithheldReason.NotLeading);
    hasLease = true;
    state.apply({ type: "end", batch: "b1" });
    expect(guard?.()).toBe(WithheldReason.BatchEnded);
  });

  it("takes no next call while it holds no lease", async () => {
    let hasLease = true;
    const { service, runs } = start(
      [spec(["x1", "x2", "x3", "x4"])],
      undefined,
      () => hasLease,
    );
    await advance(20);
    for (const run of [...runs]) complete(run);
    await advance(20);
    const sent = service.calls.length;
    hasLease = false;
    service.calls[0].settle(answered(200, "stamp"));
    await advance(20);
    expect(service.calls).toHaveLength(sent);
  });

  it("scores a resubmitted text by its new call, without a run", async () => {
    const again = spec(["x1"], { id: "b2" });
    const { state, service, runs } = start([spec(["x1"])]);
    await advance(20);
    complete(runs[0]);
    await advance(20);
    service.calls[0].settle(answered(200, "first"));
    await advance(20);
    const [item] = again.items;
    const other = { ...item, scoring: { ...item.scoring!, id: "score-2" } };
    state.apply({ type: "accept", spec: { ...again, items: [other] } });
    await advance(200);
    expect(runs).toHaveLength(1);
    expect(service.calls[1].attempt.call.id).toBe("score-2");
    service.calls[1].settle(answered(200, "second"));
    await advance(20);
    expect(state.get("b2")?.getResult("x1")).toMatchObject({
      state: "completed",
      text: "one\ntwo",
      score: "second",
    });
  });
});
