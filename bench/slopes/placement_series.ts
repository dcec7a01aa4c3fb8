/** Series that measures the placement of batch items on targets. */
import { type BatchItem, BatchState } from "../../src/core/batches/mod.ts";
import { TargetRegistry } from "../../src/core/registry/mod.ts";
import { Logger } from "../../src/logging/mod.ts";
import { Metrics } from "../../src/metrics/mod.ts";
import {
  BatchRunner,
  type EnginePort,
  type RunSink,
} from "../../src/tasks/batches/mod.ts";
import {
  createItem,
  createSpec,
  NO_SCORING,
} from "../../tests/support/batch_spec.ts";
import { createReport } from "../../tests/support/target_report.ts";
import { createLimiter } from "../../tests/support/target_limiter.ts";
import type { Figures, SeriesOptions } from "./series.ts";
import type { MeasureOptions } from "./cluster_series.ts";

const SLOTS = 8;
const MODELS = 3;
const BATCHES = 9;
const ITEMS = 104;
const GROUP_SIZE = 8;
const EVENT_INTERVAL_MS = 58;
/** Fraction of the runs that end at each event. */
const END_FRACTION = 0.04;
const EVENT_DATA = "x".repeat(400);
const MICROSECONDS_PER_MS = 1_000;

interface SimulatedRun {
  readonly sink: RunSink;
  events: number;
}

/** Simulated engines whose runs all progress at the same pace. */
class SimulatedEngines implements EnginePort {
  readonly #runs = new Set<SimulatedRun>();
  endedRuns = 0;

  open(_request: unknown, sink: RunSink) {
    const run = { sink, events: 0 };
    this.#runs.add(run);
    sink.onVersion(1);
    return { cancel: () => void this.#runs.delete(run) };
  }

  closeIdleExcept(): void {}

  /** Sends one event of each run and ends the oldest ones. */
  advance(): void {
    for (const run of [...this.#runs]) {
      run.events += 1;
      run.sink.onEvent({ id: run.events, data: EVENT_DATA });
    }
    const ending = Math.ceil(this.#runs.size * END_FRACTION);
    for (const run of [...this.#runs].slice(0, ending)) {
      this.#runs.delete(run);
      this.endedRuns += 1;
      run.sink.onEnd();
    }
  }
}

function createRegistry(targets: number): TargetRegistry {
  const registry = new TargetRegistry();
  const versions = Object.fromEntries(
    Array.from({ length: MODELS }, (_, i) => [`m${i}`, 1]),
  );
  for (let i = 0; i < targets; i += 1) {
    const address = `127.0.0.1:${i + 1}`;
    const dataCentre = "abcd"[i % 4];
    const fields = { id: `t${i}`, address, dataCentre, slots: SLOTS, versions };
    registry.merge(createReport(fields), 0);
  }
  return registry;
}

function createItems(batch: number): BatchItem[] {
  return Array.from({ length: ITEMS }, (_, i) =>
    createItem(`b${batch}-${i}`, {
      group: `b${batch}-${Math.floor(i / GROUP_SIZE)}`,
      model: `m${batch % MODELS}`,
      expectedTokens: 100 + (i * 37) % 2_000,
    }));
}

async function measure(targets: number, measureMs: number): Promise<Figures> {
  const state = new BatchState();
  const registry = createRegistry(targets);
  const engines = new SimulatedEngines();
  const runner = new BatchRunner({
    state: () => state,
    registry,
    engines,
    logger: new Logger({ instance: "bench", level: "error" }),
    metrics: new Metrics({ tags: {} }),
    dataCentre: "a",
    now: () => performance.now(),
    canRunItems: () => true,
    holdsLease: () => true,
    scoring: NO_SCORING,
    onSigns: () => {},
    limiter: createLimiter(registry),
    storeCompleteText: () => {},
    storeResult: (record) => {
      state.apply({ type: "list", records: [record] });
      runner.onResultStored(record.batch, record.result.id);
    },
    storePartialTexts: (records) => void state.apply({ type: "keep", records }),
  });
  for (let batch = 0; batch < BATCHES; batch += 1) {
    const spec = createSpec({
      id: `b${batch}`,
      acceptedAt: Date.now(),
      objectiveMs: 60_000,
      giveUpMs: 120_000,
      minVersion: 1,
      items: createItems(batch),
    });
    state.apply({ type: "accept", spec });
  }
  const cpuBefore = process.cpuUsage();
  runner.start();
  const timer = setInterval(() => engines.advance(), EVENT_INTERVAL_MS);
  await new Promise((resolve) => setTimeout(resolve, measureMs));
  clearInterval(timer);
  runner.stop();
  const { user, system } = process.cpuUsage(cpuBefore);
  const cpuMs = (user + system) / MICROSECONDS_PER_MS;
  return {
    core: cpuMs / measureMs,
    msPerRun: cpuMs / Math.max(1, engines.endedRuns),
  };
}

/** Measures the CPU use of the batch runner against the number of targets. */
export function placementSeries({ measureMs }: MeasureOptions): SeriesOptions {
  return {
    name: "placing",
    size: "targets of 8 slots, 936 items",
    sizes: [70, 300, 1_000, 2_300],
    measure: (targets) => measure(targets, measureMs),
  };
}
