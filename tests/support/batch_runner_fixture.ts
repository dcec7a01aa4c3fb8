/** A batch runner whose engines are simulated by a test, on fake timers. */
import { vi } from "vitest";
import {
  type BatchSpec,
  BatchState,
  type PartialTextRecord,
} from "../../src/core/batches/mod.ts";
import { RegionMap } from "../../src/core/policy/mod.ts";
import {
  TargetRegistry,
  type TargetReport,
} from "../../src/core/registry/mod.ts";
import { Logger } from "../../src/logging/mod.ts";
import { Metrics } from "../../src/metrics/mod.ts";
import {
  BatchRunner,
  type BatchRunnerOptions,
} from "../../src/tasks/batches/batch_runner.ts";
import type {
  EnginePort,
  RunRequest,
  RunSink,
} from "../../src/tasks/batches/mod.ts";
import { createItem, createSpec, NO_SCORING } from "./batch_spec.ts";
import { createLimiter } from "./target_limiter.ts";
import { createReport } from "./target_report.ts";

/** A run that the runner has opened at an engine. */
export interface OpenedRun {
  readonly request: RunRequest;
  readonly sink: RunSink;
  isCancelled: boolean;
}

/** Records the opened runs, so that a test can act as the engines. */
export class ScriptedEngines implements EnginePort {
  readonly runs: OpenedRun[] = [];
  /** Whether the targets of the runs are known to answer. */
  areVerified = true;
  /** Whether the targets send the heads of their responses at once. */
  areAnswered = true;

  open(request: RunRequest, sink: RunSink) {
    const run: OpenedRun = { request, sink, isCancelled: false };
    this.runs.push(run);
    if (this.areAnswered && this.areVerified) sink.onVerified();
    if (this.areAnswered) sink.onVersion(5);
    return { cancel: () => void (run.isCancelled = true) };
  }

  closeIdleExcept(): void {}

  /** Gets the runs that have not been cancelled. */
  get active(): OpenedRun[] {
    return this.runs.filter((run) => !run.isCancelled);
  }
}

/** Creates the report of a target that has version 5 of the model `m`. */
export function target(
  id: string,
  fields: Partial<TargetReport> = {},
): TargetReport {
  return createReport({ id, versions: { m: 5 }, ...fields });
}

/** Creates the batch `b1` of the given items. */
export function spec(ids: readonly string[], fields: Partial<BatchSpec> = {}) {
  return createSpec({
    id: "b1",
    acceptedAt: Date.now(),
    objectiveMs: 5_000,
    giveUpMs: 60_000,
    minVersion: 5,
    items: ids.map((id) => createItem(id, { expectedTokens: 100 })),
    ...fields,
  });
}

/** Starts a runner with targets, accepted batches and scripted engines. */
export function startRunner(
  targets: readonly TargetReport[],
  specs: readonly BatchSpec[],
  setUp?: (state: BatchState) => void,
  regions?: Readonly<Record<string, string>>,
  overrides: Partial<BatchRunnerOptions> = {},
) {
  const engines = new ScriptedEngines();
  const runner = startRunnerWith(
    engines,
    targets,
    specs,
    setUp,
    regions,
    overrides,
  );
  return { ...runner, engines };
}

/** Starts a runner with targets and accepted batches. */
export function startRunnerWith(
  engines: EnginePort,
  targets: readonly TargetReport[],
  specs: readonly BatchSpec[],
  setUp: (state: BatchState) => void = () => {},
  regions?: Readonly<Record<string, string>>,
  overrides: Partial<BatchRunnerOptions> = {},
) {
  const state = new BatchState();
  const metrics = new Metrics({ tags: {} });
  const registry = new TargetRegistry(new RegionMap(regions));
  const storedTexts: PartialTextRecord[] = [];
  targets.forEach((t, i) =>
    registry.merge({ ...t, address: `127.0.0.1:${i + 1}` }, 0)
  );
  for (const batch of specs) state.apply({ type: "accept", spec: batch });
  setUp(state);
  const runner = new BatchRunner({
    state: () => state,
    registry,
    engines,
    logger: new Logger({ instance: "test", level: "error" }),
    metrics,
    dataCentre: "a",
    now: () => Date.now(),
    canRunItems: () => true,
    holdsLease: () => true,
    scoring: NO_SCORING,
    storeCompleteText: (record) => {
      state.apply({ type: "keep", records: [record] });
      runner.onTextStored(record.batch, record.item);
    },
    onSigns: ({ id, incarnation }, { isLeaving }) => {
      if (isLeaving) registry.markLeaving(id, incarnation);
    },
    limiter: createLimiter(registry),
    storeResult: (record) => {
      state.apply({ type: "list", records: [record] });
      runner.onResultStored(record.batch, record.result.id);
    },
    storePartialTexts: (records) => {
      storedTexts.push(...records);
      state.apply({ type: "keep", records });
    },
    ...overrides,
  }).start();
  const step = (ms: number) => vi.advanceTimersByTime(ms);
  step(20);
  return { state, runner, registry, metrics, step, storedTexts };
}

/** Sends events from an engine at a constant interval. */
export function play(
  run: OpenedRun,
  events: { from: number; to: number; gapMs: number },
  step: (ms: number) => void,
) {
  for (let id = events.from; id <= events.to; id += 1) {
    step(events.gapMs);
    run.sink.onEvent({ id, data: `e${id}` });
  }
}
