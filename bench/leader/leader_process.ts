/** Program that emulates the leader of a ledger, for `bench/leader`. */
import {
  type BatchCommand,
  type BatchItem,
  BatchState,
} from "../../src/core/batches/mod.ts";
import { TargetRegistry } from "../../src/core/registry/mod.ts";
import { Logger } from "../../src/logging/mod.ts";
import { Metrics } from "../../src/metrics/mod.ts";
import { ResultQueue } from "../../src/tasks/batches/result_queue.ts";
import {
  BatchRunner,
  type EnginePort,
  type RunHandle,
  type RunRequest,
  type RunSink,
} from "../../src/tasks/batches/mod.ts";
import { encodeEnvelope } from "../../src/tasks/peers/peer_envelope.ts";
import { FrameCodec } from "../../src/tasks/storage/frame_codec.ts";
import { EngineClient } from "../../platform/engine_client.ts";
import {
  createItem,
  createSpec,
  NO_SCORING,
} from "../../tests/support/batch_spec.ts";
import { createLimiter } from "../../tests/support/target_limiter.ts";
import { createReport } from "../../tests/support/target_report.ts";
import { RUNS, SLOTS } from "./load.ts";
import { type PartProfile, Profiler } from "./profiler.ts";

/** Assignment of the process, in its first message. */
export interface LeaderProcessOptions {
  /** Addresses of the engines. */
  readonly addresses: readonly string[];
  /** Number of rounds, of which the first is that of a cold process. */
  readonly rounds: number;
  /** Whether to measure the time by part. */
  readonly isProfiled: boolean;
  /** Source map of the program. */
  readonly sourceMap: string;
}

/** Cost of one round. */
export interface RoundCost {
  readonly startMicros: number;
  readonly eventMicros: number;
  /** CPU time in the first second of a round, in milliseconds. */
  readonly firstSecondMs: number;
  /** CPU time of the process before the round, in milliseconds. */
  readonly cpuBeforeMs: number;
  /** Longest delay of a timer of 5 ms, in milliseconds. */
  readonly maxLagMs: number;
  /** Microseconds of each run by part; absent without a profile. */
  readonly startParts?: PartProfile;
  /** Microseconds of each event by part. */
  readonly eventParts?: PartProfile;
}

const BODY_BYTES = 4_096;
/** Number of items of a group. */
const GROUP_SIZE = 8;
const FIRST_SECOND_MS = 1_000;
/** Interval of the timer whose delay is measured. */
const LAG_INTERVAL_MS = 5;
/** Number of instances for which each command is encoded. */
const FOLLOWERS = 4;
/** Time until a command counts as committed. */
const COMMIT_MS = 2;

/** Counts the runs and events between the runner and its client. */
class CountingEngines implements EnginePort {
  readonly #client = new EngineClient();
  started = 0;
  events = 0;
  ended = 0;
  #verified = 0;
  onAllStarted: () => void = () => {};
  onAllEnded: () => void = () => {};

  open(request: RunRequest, sink: RunSink): RunHandle {
    this.started += 1;
    return this.#client.open(request, {
      onVerified: () => {
        sink.onVerified();
        this.#verified += 1;
        if (this.#verified % RUNS === 0) this.onAllStarted();
      },
      onVersion: (version) => sink.onVersion(version),
      onEvent: (event) => {
        this.events += 1;
        sink.onEvent(event);
      },
      onSigns: (signs) => sink.onSigns(signs),
      onEnd: () => {
        this.ended += 1;
        sink.onEnd();
        if (this.ended % RUNS === 0) this.onAllEnded();
      },
      onFailure: (failure, detail) => {
        sink.onFailure(failure, detail);
      },
    });
  }

  closeIdleExcept(addresses: ReadonlySet<string>): void {
    this.#client.closeIdleExcept(addresses);
  }
}

/** Encodes commands as a leader does for its store and its followers. */
class EncodingLog {
  readonly #codec = new FrameCodec<unknown>();
  readonly #state: BatchState;
  #index = 0;

  constructor(state: BatchState) {
    this.#state = state;
  }

  async propose(command: BatchCommand): Promise<void> {
    this.#index += 1;
    const entries = [{ index: this.#index, term: 1, command }];
    this.#codec.encode({ type: "write", entries });
    const message = { type: "append", term: 1, entries };
    for (let i = 0; i < FOLLOWERS; i += 1) {
      encodeEnvelope({
        channel: "log",
        body: { log: "batches", message: message as never },
      });
    }
    await new Promise((resolve) => setTimeout(resolve, COMMIT_MS));
    this.#state.apply(command);
  }
}

function createRegistry(addresses: readonly string[]): TargetRegistry {
  const registry = new TargetRegistry();
  addresses.forEach((address, i) => {
    const dataCentre = "abcd"[i % 4];
    const versions = { m: 1 };
    const fields = { id: `t${i}`, address, dataCentre, slots: SLOTS, versions };
    registry.merge(createReport(fields), 0);
  });
  return registry;
}

function createItems(batch: number): BatchItem[] {
  const body = new Uint8Array(BODY_BYTES).fill(65);
  return Array.from({ length: RUNS }, (_, i) =>
    createItem(`b${batch}-${i}`, {
      group: `b${batch}-${Math.floor(i / GROUP_SIZE)}`,
      expectedTokens: 100 + (i * 37) % 2_000,
      headers: { model: "m", "content-type": "application/json" },
      body,
    }));
}

/** Executes rounds of runs, one after the other. */
class LeaderRounds {
  readonly #engines = new CountingEngines();
  readonly #state = new BatchState();
  readonly #runner: BatchRunner;
  readonly #profiler: Profiler | undefined;

  constructor({ addresses, isProfiled, sourceMap }: LeaderProcessOptions) {
    this.#profiler = isProfiled ? new Profiler(sourceMap) : undefined;
    const log = new EncodingLog(this.#state);
    const registry = createRegistry(addresses);
    const logger = new Logger({
      instance: "bench",
      level: "info",
      budget: { linesPerS: 200, burst: 2_000 },
    });
    const results = new ResultQueue({
      propose: async (command) => {
        await log.propose(command);
        if (command.type !== "list") return;
        for (const { batch, result } of command.records) {
          this.#runner.onResultStored(batch, result.id);
        }
      },
      onUnstored: () => {},
      logger,
    });
    this.#runner = new BatchRunner({
      state: () => this.#state,
      registry,
      engines: this.#engines,
      logger,
      metrics: new Metrics({ tags: {} }),
      dataCentre: "a",
      now: () => performance.now(),
      canRunItems: () => true,
      holdsLease: () => true,
      scoring: NO_SCORING,
      onSigns: () => {},
      limiter: createLimiter(registry),
      storeCompleteText: (record) => results.storeCompleteText(record),
      storeResult: (record) => results.add(record),
      storePartialTexts: (records) => results.storePartialTexts(records),
    });
  }

  async run(round: number): Promise<RoundCost> {
    const engines = this.#engines;
    const cpuBeforeMs = cpuMicros() / 1_000;
    const eventsBefore = engines.events;
    const startedBefore = engines.started;
    const started = new Promise<void>((r) => engines.onAllStarted = r);
    const ended = new Promise<void>((r) => engines.onAllEnded = r);
    const lag = watchLag();
    this.#profiler?.start();
    const begin = cpuMicros();
    let firstSecondMs = 0;
    setTimeout(() => {
      firstSecondMs = (cpuMicros() - begin) / 1_000;
    }, FIRST_SECOND_MS);
    this.#accept(round);
    this.#runner.start().schedulePlacement();
    await started;
    const afterStarts = cpuMicros();
    const startParts = this.#profiler?.take(engines.started - startedBefore);
    await ended;
    const afterEvents = cpuMicros();
    const starts = engines.started - startedBefore;
    const events = engines.events - eventsBefore;
    const eventParts = this.#profiler?.take(events);
    this.#profiler?.stop();
    return {
      startMicros: (afterStarts - begin) / starts,
      eventMicros: (afterEvents - afterStarts) / events,
      firstSecondMs,
      cpuBeforeMs,
      maxLagMs: lag.stop(),
      ...(startParts === undefined ? {} : { startParts, eventParts }),
    } as RoundCost;
  }

  #accept(round: number): void {
    const spec = createSpec({
      id: `b${round}`,
      acceptedAt: Date.now(),
      objectiveMs: 60_000,
      giveUpMs: 120_000,
      minVersion: 1,
      items: createItems(round),
    });
    this.#state.apply({ type: "accept", spec });
  }
}

function cpuMicros(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

function watchLag(): { readonly stop: () => number } {
  let last = performance.now();
  let maxMs = 0;
  const timer = setInterval(() => {
    const now = performance.now();
    maxMs = Math.max(maxMs, now - last - LAG_INTERVAL_MS);
    last = now;
  }, LAG_INTERVAL_MS);
  return {
    stop: () => {
      clearInterval(timer);
      return maxMs;
    },
  };
}

process.on("disconnect", () => process.exit(1));
process.once("message", async (options: LeaderProcessOptions) => {
  const rounds = new LeaderRounds(options);
  const costs: RoundCost[] = [];
  for (let round = 0; round < options.rounds; round += 1) {
    costs.push(await rounds.run(round));
  }
  process.send?.(costs, () => process.exit(0));
});
