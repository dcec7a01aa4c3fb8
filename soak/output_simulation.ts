/** Randomised simulation of outputs while targets change their software. */
import { FIRST_SOFTWARE, softwareOf } from "../fakes/fleet_text.ts";
import { Scheduler } from "../sim/scheduler.ts";
import {
  type BatchRecord,
  BatchState,
  ItemTracker,
  placeItem,
  ResultState,
  RunText,
  type WaitingItem,
} from "../src/core/batches/mod.ts";
import type { OutputWriter } from "../src/core/continuation/mod.ts";
import type { TargetReport } from "../src/core/registry/mod.ts";
import { createItem, createSpec } from "../tests/support/batch_spec.ts";
import { createReport } from "../tests/support/target_report.ts";
import type { RunResult } from "./schedule.ts";
import { StreamInstances } from "./stream_instances.ts";

/** Parts of the rule that a simulation can disable. */
export interface OutputGuards {
  /** Whether only the version that wrote an output may continue it. */
  readonly version: boolean;
  /** Whether a target must name its incarnation first. */
  readonly incarnation: boolean;
  /** Whether a stream is refused if it is not known who wrote it. */
  readonly record: boolean;
}

/** Options of {@link OutputSimulation}. */
export interface OutputSimulationOptions {
  /** Seed of all random draws. */
  readonly seed: number;
  /** Parts of the rule to disable; all are enabled where absent. */
  readonly guards?: Partial<OutputGuards>;
}

/** Actual state of a target's process. */
interface TargetProcess {
  readonly id: string;
  readonly incarnation: number;
  readonly software: string;
  isRunning: boolean;
}

/** A run of an item or of a stream. */
interface Run {
  readonly process: TargetProcess;
  readonly text: RunText;
}

interface ItemRunState extends Run {
  readonly waiting: WaitingItem;
}

/** A stream as its caller holds it. */
interface CallerStream {
  /** Request that brought the first event, or is about to. */
  request: string;
  readonly events: string[];
  run: Run | undefined;
}

/** Number of schedules in one run. */
const SCHEDULES = 20;
const STEPS = 60;
const EVENTS = 6;
const TARGETS = 4;
const ITEMS = ["x1", "x2", "x3"];
const SOFTWARE = [FIRST_SOFTWARE, "v2", "v3"];
const SERVICE = "s";
const KEEP_MS = 1_000;

/** Runs one schedule of releases, deaths, moves, new leaders and resumptions. */
export class OutputSimulation {
  readonly #scheduler: Scheduler;
  readonly #guards: OutputGuards;
  readonly #processes = new Map<string, TargetProcess>();
  /** Reports known to the leader and to entry instances, some outdated. */
  readonly #reports = new Map<string, TargetReport>();
  readonly #undelivered: TargetReport[] = [];
  readonly #instances: StreamInstances;
  readonly #counts: Record<string, number> = {};
  #state = new BatchState();
  #tracker = new ItemTracker();
  #itemRuns: ItemRunState[] = [];
  readonly #streams: CallerStream[] = [];
  #incarnation = 0;
  #batch = 0;
  #requestCount = 0;
  #time = 1;
  #violation: string | undefined;

  constructor({ seed, guards }: OutputSimulationOptions) {
    this.#scheduler = new Scheduler(seed);
    this.#guards = {
      version: true,
      incarnation: true,
      record: true,
      ...guards,
    };
    this.#instances = new StreamInstances({
      scheduler: this.#scheduler,
      now: () => this.#time,
      maxStreams: STEPS,
    });
  }

  /** Runs the schedule up to its end or the first violation. */
  run(): RunResult {
    for (let i = 0; i < TARGETS; i += 1) this.#release(`t${i}`);
    this.#deliverAll();
    this.#submit();
    const actions = Object.entries(this.#actions);
    let steps = 0;
    while (steps < STEPS && this.#violation === undefined) {
      const [name, action] = this.#scheduler.pick(actions);
      this.#count(name);
      action();
      this.#time += 1;
      steps += 1;
    }
    return {
      violation: this.#violation,
      steps,
      faults: new Map(),
      work: this.#counts,
    };
  }

  readonly #actions: Readonly<Record<string, () => void>> = {
    release: () => this.#release(this.#pickTarget()),
    restart: () => {
      const process = this.#processes.get(this.#pickTarget());
      if (process !== undefined) process.isRunning = false;
      this.#endRunsOfStopped();
    },
    deliver: () => {
      const report = this.#undelivered.shift();
      if (report !== undefined) this.#merge(report);
    },
    loseReport: () => void this.#undelivered.shift(),
    place: () => this.#placeItems(),
    placeAgain: () => this.#placeItems(),
    generate: () => this.#generate(),
    generateMore: () => this.#generate(),
    move: () => {
      const run = this.#itemRuns.shift();
      if (run !== undefined) this.#saveText(run);
    },
    store: () => this.#storeTexts({ keepsSoftware: true }),
    storeByEarlierBuild: () => this.#storeTexts({ keepsSoftware: false }),
    newLeader: () => {
      this.#itemRuns = [];
      this.#tracker = new ItemTracker();
      this.#state = new BatchState().load(this.#state.save());
    },
    submitAgain: () => this.#submit(),
    beginStream: () => {
      const stream = { request: "", events: [], run: undefined };
      this.#streams.push(stream);
      this.#startStream(stream, undefined);
    },
    breakStream: () => {
      const stream = this.#pickStream();
      if (stream !== undefined) stream.run = undefined;
    },
    takeUpStream: () => {
      const stream = this.#pickStream();
      if (stream !== undefined) this.#resume(stream);
    },
    loseAllEntries: () => {
      this.#instances.loseAllEntries();
      const broken = this.#streams.filter(({ run }) => run !== undefined);
      for (const stream of broken) stream.run = undefined;
      // Callers retry at once, and again once the instances have links.
      for (const stream of broken) this.#resume(stream);
      this.#instances.linkEntries();
      for (const stream of broken) this.#resume(stream);
    },
    linkEntries: () => this.#instances.linkEntries(),
    loseControl: () => this.#instances.loseControl(),
    deliverLate: () => this.#instances.deliverLate(),
  };

  #pickTarget(): string {
    return `t${Math.floor(this.#scheduler.random() * TARGETS)}`;
  }

  #pickStream(): CallerStream | undefined {
    return this.#streams.length === 0
      ? undefined
      : this.#scheduler.pick(this.#streams);
  }

  /** Starts a process under an identifier, whose report may come late. */
  #release(id: string): void {
    const previous = this.#processes.get(id);
    if (previous !== undefined) previous.isRunning = false;
    this.#endRunsOfStopped();
    this.#incarnation += 1;
    const process: TargetProcess = {
      id,
      incarnation: this.#incarnation,
      software: this.#scheduler.pick(SOFTWARE),
      isRunning: true,
    };
    this.#processes.set(id, process);
    const { incarnation, software } = process;
    const isNamed = this.#scheduler.random() < 0.9;
    this.#undelivered.push(createReport({
      id,
      service: SERVICE,
      incarnation,
      software: isNamed ? software : undefined,
      versions: { m: 1 },
    }));
  }

  #deliverAll(): void {
    for (const report of this.#undelivered.splice(0)) this.#merge(report);
  }

  #merge(report: TargetReport): void {
    const known = this.#reports.get(report.id);
    const isNewer = report.incarnation > (known?.incarnation ?? 0);
    if (isNewer) this.#reports.set(report.id, report);
  }

  /** Ends the runs of processes that have stopped. */
  #endRunsOfStopped(): void {
    const ended = this.#itemRuns.filter(({ process }) => !process.isRunning);
    this.#itemRuns = this.#itemRuns.filter(({ process }) => process.isRunning);
    for (const run of ended) this.#saveText(run);
    for (const stream of this.#streams) {
      if (stream.run?.process.isRunning === false) stream.run = undefined;
    }
  }

  #saveText({ waiting, text }: ItemRunState): void {
    this.#tracker.savePartialText(waiting, text);
  }

  #submit(): void {
    this.#batch += 1;
    const previous = this.#state.all.at(-1);
    if (previous !== undefined) {
      this.#state.apply({ type: "end", batch: previous.spec.id });
    }
    const id = `b${this.#batch}`;
    const items = ITEMS.map((item) => createItem(item));
    const spec = createSpec({ id, service: SERVICE, items });
    this.#state.apply({ type: "accept", spec });
    for (const run of this.#itemRuns.splice(0)) this.#saveText(run);
  }

  #placeItems(): void {
    const records = this.#state.all;
    const record = records.at(-1);
    for (const item of record?.itemsToRun ?? []) {
      const isRunning = this.#itemRuns.some(({ waiting }) =>
        waiting.item.id === item.id
      );
      if (!isRunning) this.#placeItem({ record: record!, item }, records);
    }
  }

  #placeItem(waiting: WaitingItem, records: readonly BatchRecord[]): void {
    const { partial } = this.#tracker.outputOf(waiting, records);
    for (const text of [...partial, new RunText()]) {
      const report = this.#choose(
        text.size === 0 ? undefined : {
          service: SERVICE,
          software: text.software,
        },
      );
      if (report === undefined) continue;
      const process = this.#connect(report, text.size > 0);
      if (process === undefined) {
        this.#tracker.progressOf(waiting).unverifiedRuns += 1;
        return;
      }
      if (text.size > 0) this.#count("resumed");
      this.#setWriter(text, report, process);
      this.#tracker.onRunStarted(waiting, text.size > 0);
      this.#itemRuns.push({ waiting, process, text: text.setVersion(1) });
      return;
    }
  }

  #choose(written: OutputWriter | undefined): TargetReport | undefined {
    const { placement } = placeItem({
      targets: [...this.#reports.values()].map((report) => ({
        ...report,
        software: report.software,
        isScarce: false,
        inFlight: Math.floor(this.#scheduler.random() * 3),
        version: 1,
        paceMs: 1,
        isDegraded: false,
        isAvoided: this.#scheduler.random() < 0.2,
        isCold: false,
      })),
      minVersion: 0,
      written: this.#guards.version ? written : undefined,
      versions: [],
      isSingleVersion: false,
      excluded: new Set(),
      cachingTargets: new Set(),
      dataCentre: "a",
      run: {
        remainingEvents: 10,
        uncachedPromptEvents: 1,
        cachedPromptEvents: 1,
        meanRunEvents: 10,
      },
      dueInMs: 1_000,
      heldItems: undefined,
      heldForPrompt: undefined,
    });
    return placement && this.#reports.get(placement.target.id);
  }

  /** Gets the process at a target, unless it must be another one. */
  #connect(
    report: TargetReport,
    needsIncarnation: boolean,
  ): TargetProcess | undefined {
    const process = this.#processes.get(report.id);
    if (process?.isRunning !== true) return undefined;
    const isSameIncarnation = process.incarnation === report.incarnation;
    const isRequired = needsIncarnation && this.#guards.incarnation;
    return isRequired && !isSameIncarnation ? undefined : process;
  }

  /** Sets the version that a target reports, if it names its incarnation. */
  #setWriter(
    text: RunText,
    report: TargetReport,
    process: TargetProcess,
  ): void {
    const isVerified = process.incarnation === report.incarnation ||
      !this.#guards.incarnation;
    if (isVerified) text.setSoftware(report.software);
  }

  #generate(): void {
    for (const run of [...this.#itemRuns]) {
      this.#addEvents(run, () => {});
      if (run.text.lastId === EVENTS) this.#complete(run);
    }
    for (const stream of this.#streams) {
      const { run } = stream;
      if (run === undefined) continue;
      if (stream.events.length === 0) this.#record(stream, run.text.software);
      this.#addEvents(run, (data) => stream.events.push(data));
      if (run.text.lastId === EVENTS) stream.run = undefined;
      this.#checkOutput(stream.request, stream.events);
    }
  }

  #addEvents({ process, text }: Run, onEvent: (data: string) => void): void {
    const count = 1 + Math.floor(this.#scheduler.random() * 3);
    for (let i = 0; i < count && text.lastId < EVENTS; i += 1) {
      const id = text.lastId + 1;
      const data = `${id}@${process.software}`;
      text.add({ id, data });
      onEvent(data);
    }
  }

  #complete(run: ItemRunState): void {
    this.#itemRuns = this.#itemRuns.filter((other) => other !== run);
    const { record, item } = run.waiting;
    const { text, versions } = run.text;
    const result = {
      id: item.id,
      state: ResultState.Completed,
      text,
      versions,
    };
    const records = [{ batch: record.spec.id, result }];
    this.#state.apply({ type: "list", records });
    const stored = this.#state.get(record.spec.id)?.getResult(item.id);
    this.#checkOutput(item.id, stored?.text.split("\n") ?? []);
    this.#count("completed");
  }

  #storeTexts({ keepsSoftware }: { keepsSoftware: boolean }): void {
    const records = this.#itemRuns
      .filter(({ text }) => text.size > 0)
      .map(({ waiting, text }) => ({
        batch: waiting.record.spec.id,
        item: waiting.item.id,
        after: 0,
        pieces: text.piecesAfter(0),
        versions: text.versions,
        software: keepsSoftware ? text.software : undefined,
      }));
    this.#state.apply({ type: "keep", records });
  }

  #startStream(stream: CallerStream, writer: OutputWriter | undefined): void {
    const report = this.#choose(writer);
    if (report === undefined) return;
    const process = this.#connect(report, writer !== undefined);
    if (process === undefined) return;
    if (writer !== undefined) this.#count("streams resumed");
    const lastId = stream.events.length;
    const text = new RunText({ lastId, pieces: stream.events, versions: [] })
      .setVersion(1);
    this.#setWriter(text, report, process);
    stream.run = { process, text };
    this.#requestCount += 1;
    if (lastId === 0) stream.request = `r${this.#requestCount}`;
  }

  #record({ request }: CallerStream, software: string | undefined): void {
    const writer = { service: SERVICE, software };
    this.#instances.record({
      workspace: "w",
      request,
      writer,
      keepMs: KEEP_MS,
    });
  }

  #resume(stream: CallerStream): void {
    if (stream.run !== undefined || stream.events.length === EVENTS) return;
    if (stream.events.length === 0) return this.#startStream(stream, undefined);
    const key = { workspace: "w", request: stream.request };
    const writer = this.#instances.find(key);
    if (writer !== undefined) return this.#startStream(stream, writer);
    if (!this.#guards.version || !this.#guards.record) {
      return this.#startStream(stream, undefined);
    }
    this.#count("streams refused");
  }

  #checkOutput(id: string, events: readonly string[]): void {
    if (events.length === 0) return;
    const versions = softwareOf(events.join("\n"));
    if (versions.length === 1) return;
    this.#violation = `output ${id} has versions ${versions.join(", ")}`;
  }

  #count(name: string): void {
    this.#counts[name] = (this.#counts[name] ?? 0) + 1;
  }
}

/** Runs several schedules; the counts of all are added up. */
export function runOutputSchedules(
  { seed, guards }: OutputSimulationOptions,
): RunResult {
  const work: Record<string, number> = {};
  let violation: string | undefined;
  let steps = 0;
  for (let i = 0; i < SCHEDULES && violation === undefined; i += 1) {
    const schedule = new OutputSimulation({
      seed: seed * SCHEDULES + i,
      guards,
    });
    const result = schedule.run();
    violation = result.violation;
    steps += result.steps;
    for (const [name, count] of Object.entries(result.work)) {
      work[name] = (work[name] ?? 0) + count;
    }
  }
  return { violation, steps, faults: new Map(), work };
}
