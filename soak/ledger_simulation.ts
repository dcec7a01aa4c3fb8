/** Randomised simulation of a data centre's ledger and its views. */
import type { LedgerView } from "../src/core/views/mod.ts";
import {
  ALL_LEDGER_GUARDS,
  type LedgerEntry,
  type LedgerGuards,
  type LedgerMessage,
  type LedgerRecord,
} from "../src/core/ledger/mod.ts";
import { LedgerProcess } from "./ledger_process.ts";
import { FaultKind, type RunResult, type ScheduledFault } from "./schedule.ts";
import { type Heal, SimulatedRun } from "./simulated_run.ts";
import type { Scheduler } from "../sim/scheduler.ts";

/** Options of {@link LedgerSimulation}. */
export interface LedgerSimulationOptions {
  /** Seed of all random draws. */
  readonly seed: number;
  /** Number of processes; every second one has no disk. */
  readonly size: number;
  /** Duration, in virtual milliseconds. */
  readonly lengthMs: number;
  /** Faults to inject. */
  readonly faults: readonly ScheduledFault[];
  /** Safety checks of the ledger; all enabled where absent. */
  readonly guards?: Partial<LedgerGuards>;
}

const SLOTS_PER_STEP = 400;
const APPEND_INTERVAL_MS = 25;
const DETECTION_INTERVAL_MS = 300;
/** Fraction of checks at which a running process is detected as failed. */
const FALSE_SUSPICION_RATE = 0.02;

/** Simulates ledger processes, and the control log that commits views. */
export class LedgerSimulation {
  readonly #options: LedgerSimulationOptions;
  readonly #run: SimulatedRun;
  readonly #scheduler: Scheduler;
  readonly #processes: LedgerProcess[];
  /** Digest of each acknowledged record, by epoch and index. */
  readonly #acknowledgedRecords = new Map<string, string>();
  /** Text of each delivered sample, by step and sample number. */
  readonly #samplesByNumber = new Map<string, string>();
  /** Idempotency key and record of each started call, as `key@epoch/index`. */
  readonly #startedCalls = new Set<string>();
  #view: LedgerView | undefined;
  #recordCount = 0;
  #viewCount = 0;

  /** Creates and starts the processes. */
  constructor(options: LedgerSimulationOptions) {
    this.#options = options;
    this.#run = new SimulatedRun({ seed: options.seed, maxDelayMs: 8 });
    this.#scheduler = this.#run.scheduler;
    this.#processes = Array.from(
      { length: options.size },
      (_, i) =>
        new LedgerProcess({
          id: `l${i}`,
          hasDisk: i % 2 === 0,
          wantedBackups: options.size > 3 ? 2 : 1,
          scheduler: this.#scheduler,
          guards: { ...ALL_LEDGER_GUARDS, ...options.guards },
          callbacks: {
            send: (message) => this.#send(message),
            applied: (process, entry, error) =>
              this.#onApplied(process, entry, error),
            proposeView: (view) => this.#commitView(view),
            violation: (text) => this.#run.report(text),
          },
        }),
    );
  }

  /** Runs until the end or the first violation of an invariant. */
  run(): RunResult {
    const { faults, lengthMs } = this.#options;
    const result = this.#run.run({
      faults,
      inject: (fault, heal) => this.#injectFault(fault, heal),
      repeated: [
        [APPEND_INTERVAL_MS, () => this.#appendRecord()],
        [DETECTION_INTERVAL_MS, () => this.#detectFailures()],
      ],
      lengthMs,
    });
    const work = {
      answered: this.#acknowledgedRecords.size,
      views: this.#viewCount,
    };
    return { ...result, work };
  }

  #findByName(name: string): LedgerProcess | undefined {
    return this.#processes.find((p) => p.name === name);
  }

  #send(message: LedgerMessage): void {
    const instance = (name: string) => name.split("#")[0];
    const from = instance(message.from);
    const to = instance(message.to);
    this.#run.network.send({ from, to }, () => {
      const recipient = this.#processes.find((p) => p.id === to);
      recipient?.run((replica) => replica.receive(message));
    });
  }

  /** Checks that records never change once a primary has acknowledged them. */
  #onApplied(process: LedgerProcess, entry: LedgerEntry, error?: Error): void {
    const epoch = process.replica?.view?.epoch ?? 0;
    const recordId = `${epoch}/${entry.index}`;
    const digest = JSON.stringify(entry.record);
    const existing = this.#acknowledgedRecords.get(recordId);
    if (existing !== undefined && existing !== digest) {
      this.#run.report(`Record ${recordId} differs at ${process.name}`);
    }
    if (!(process.replica?.isPrimary ?? false)) return;
    if (existing === undefined) this.#acknowledgedRecords.set(recordId, digest);
    if (error === undefined) {
      this.#checkAcknowledged(process, recordId, entry.record);
    }
  }

  #checkAcknowledged(
    process: LedgerProcess,
    recordId: string,
    record: LedgerRecord,
  ): void {
    if (record.type === "callStarted") {
      const owner = `${record.key}@${recordId}`;
      const isNew = !this.#startedCalls.has(owner);
      const others = [...this.#startedCalls].filter((s) =>
        s.startsWith(`${record.key}@`)
      );
      if (isNew && others.length > 0) {
        this.#run.report(
          `Call ${record.key} started at ${others} and ${recordId}`,
        );
      }
      this.#startedCalls.add(owner);
    }
    if (record.type !== "samplesDelivered") return;
    const step = process.replica?.state.getStep(record);
    for (const sample of step?.read(0) ?? []) {
      const id = `${record.step}/${sample.number}`;
      const text = JSON.stringify(sample);
      const existing = this.#samplesByNumber.get(id);
      if (existing !== undefined && existing !== text) {
        this.#run.report(`Sample ${id} differs at ${process.name}`);
      }
      this.#samplesByNumber.set(id, text);
    }
  }

  #appendRecord(): void {
    const primary = this.#scheduler.pick(this.#processes);
    if (!primary.isActive || !(primary.replica?.isPrimary ?? false)) return;
    this.#recordCount += 1;
    primary.append(this.#drawRecord(primary));
  }

  #drawRecord(primary: LedgerProcess): LedgerRecord {
    const step = `s${Math.floor(this.#recordCount / SLOTS_PER_STEP)}`;
    const key = { workspace: "artis", step };
    const existing = primary.replica?.state.getStep(key);
    if (existing === undefined) return createStepRecord(step);
    const kind = this.#scheduler.random();
    if (kind < 0.3) {
      return {
        type: "callStarted",
        workspace: "artis",
        key: `k${Math.floor(this.#scheduler.random() * 50)}`,
        fingerprint: "f",
        owner: primary.name,
        at: this.#scheduler.now,
      };
    }
    if (kind < 0.4) {
      const through = Math.floor(existing.delivered * this.#scheduler.random());
      return { type: "samplesAcked", ...key, through };
    }
    const slot = Math.floor(this.#scheduler.random() * SLOTS_PER_STEP);
    const sample = {
      slot,
      text: `${primary.name} ${this.#recordCount}`,
      finishReason: "stop",
      tokens: 1,
      versions: [1],
      firstTokenAt: 0,
      targetId: "t",
    };
    return { type: "samplesDelivered", ...key, samples: [sample] };
  }

  /** Commits a view as the control log does: the first with the next number. */
  #commitView(view: LedgerView): void {
    if (view.number !== (this.#view?.number ?? 0) + 1) return;
    this.#view = view;
    this.#viewCount += 1;
    for (const process of this.#processes) {
      const deliver = () => process.run((replica) => replica.setView(view));
      this.#scheduler.after(this.#scheduler.between(1, 800), deliver);
    }
  }

  /** Simulates a failure detector with false suspicions. */
  #isDetectedAlive(name: string): boolean {
    const process = this.#findByName(name);
    if (process === undefined || !process.isActive) return false;
    return this.#scheduler.random() >= FALSE_SUSPICION_RATE;
  }

  #detectFailures(): void {
    const view = this.#view;
    this.#resendView();
    if (view === undefined) {
      const [first] = this.#processes;
      this.#commitView({
        dataCentre: "nl-1",
        number: 1,
        primary: first.name,
        backups: [],
        epoch: 0,
      });
      return;
    }
    const members = [view.primary, ...view.backups];
    const alive = members.filter((name) => this.#isDetectedAlive(name));
    if (alive.length === members.length || alive.length === 0) return;
    const primary = alive.includes(view.primary) ? view.primary : alive[0];
    const backups = alive.filter((name) => name !== primary);
    this.#commitView({ ...view, number: view.number + 1, primary, backups });
  }

  /** Resends the view to processes with another one, such as restarted ones. */
  #resendView(): void {
    const view = this.#view;
    if (view === undefined) return;
    for (const process of this.#processes) {
      if (process.replica?.view?.number === view.number) continue;
      process.run((replica) => replica.setView(view));
    }
  }

  #injectFault(fault: ScheduledFault, heal: Heal): void {
    const index = Math.floor(fault.pick * this.#processes.length);
    const victim = this.#processes[index];
    const handlers: Readonly<Record<FaultKind, () => void>> = {
      crash: () => this.#crash(victim, { losesDisk: false, heal }),
      pause: () => {
        const primary = this.#findByName(this.#view?.primary ?? "") ?? victim;
        primary.pause();
        heal(() => primary.resume());
      },
      partition: () => this.#isolate(victim, { isBoth: true, heal }),
      asymmetricPartition: () => this.#isolate(victim, { isBoth: false, heal }),
      diskLoss: () => this.#crash(victim, { losesDisk: true, heal }),
      secondDiskLoss: () => {
        this.#crash(victim, { losesDisk: true, heal });
        this.#scheduler.after(1_500, () => {
          const others = this.#processes.filter((p) => p !== victim);
          const second = this.#scheduler.pick(others);
          this.#crash(second, { losesDisk: true, heal });
        });
      },
      restartAll: () => {
        for (const process of this.#processes.filter((p) => p.hasDisk)) {
          this.#crash(process, { losesDisk: false, heal });
        }
      },
      electionCrash: () => this.#crash(victim, { losesDisk: false, heal }),
      handover: () => this.#transferPrimary(),
    };
    handlers[fault.kind]();
  }

  /** Crashes a process, unless that loses the view's last copy of the state. */
  #crash(
    victim: LedgerProcess,
    options: { losesDisk: boolean; heal: Heal },
  ): void {
    if (victim.replica === undefined) return;
    const members = this.#view === undefined
      ? []
      : [this.#view.primary, ...this.#view.backups];
    const losesState = options.losesDisk || !victim.hasDisk;
    const stateHolders = members.filter((name) =>
      name !== victim.name && this.#findByName(name) !== undefined &&
      (this.#findByName(name)?.hasDisk ||
        this.#findByName(name)?.replica !== undefined)
    );
    const isMember = members.includes(victim.name);
    if (losesState && isMember && stateHolders.length === 0) return;
    if (losesState) {
      this.#run.countFault("state lost");
      victim.loseDisk();
    } else victim.crash();
    options.heal(() => victim.start());
  }

  /** Makes a backup the primary although no process has failed. */
  #transferPrimary(): void {
    const view = this.#view;
    if (view === undefined || view.backups.length === 0) return;
    const primary = this.#scheduler.pick(view.backups);
    const members = [view.primary, ...view.backups];
    const backups = members.filter((name) => name !== primary);
    this.#commitView({ ...view, number: view.number + 1, primary, backups });
  }

  #isolate(
    victim: LedgerProcess,
    options: { isBoth: boolean; heal: Heal },
  ): void {
    const ids = this.#processes.map(({ id }) => id);
    this.#run.isolate(victim.id, ids, options);
  }
}

function createStepRecord(id: string): LedgerRecord {
  return {
    type: "stepSubmitted",
    step: {
      id,
      workspace: "artis",
      keyId: "artis-1",
      route: "planner",
      model: "planner",
      groups: [{ id: "g", body: {}, samples: SLOTS_PER_STEP }],
      staleness: { maxVersionsBehind: 1 },
      deadline: 0,
      tokensPerSample: 1,
    },
  };
}
