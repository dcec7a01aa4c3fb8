/** Randomised runs of a data centre's ledger and its views. */
import type { LedgerView } from "../src/core/views/mod.ts";
import {
  ALL_LEDGER_GUARDS,
  type LedgerEntry,
  type LedgerGuards,
  type LedgerMessage,
  type LedgerRecord,
} from "../src/core/ledger/mod.ts";
import { LedgerProcess } from "./ledger_process.ts";
import { countFault, type FaultCounts, Network } from "./network.ts";
import { FaultKind, type RunResult, type ScheduledFault } from "./schedule.ts";
import { Scheduler } from "../sim/scheduler.ts";

/** Options of {@link LedgerWorld}. */
export interface LedgerWorldOptions {
  /** Seed. */
  readonly seed: number;
  /** Processes. */
  readonly size: number;
  /** Length, in virtual milliseconds. */
  readonly lengthMs: number;
  /** Faults. */
  readonly faults: readonly ScheduledFault[];
  /** Checks in place; all where absent. */
  readonly guards?: Partial<LedgerGuards>;
}

const SLOTS = 400;
const APPEND_GAP_MS = 25;
const DETECT_GAP_MS = 300;
/** Part of looks at which a live process is taken for dead. */
const FALSE_SUSPICION = 0.02;

/** Runs ledger processes and a stand-in for the control log's views. */
export class LedgerWorld {
  readonly #options: LedgerWorldOptions;
  readonly #scheduler: Scheduler;
  readonly #counts: FaultCounts = new Map();
  readonly #network: Network;
  readonly #processes: LedgerProcess[];
  /** Text of each answered record, by epoch and position. */
  readonly #answered = new Map<string, string>();
  readonly #numbers = new Map<string, string>();
  readonly #starts = new Set<string>();
  #view: LedgerView | undefined;
  #violation: string | undefined;
  #records = 0;
  #views = 0;

  /** Creates the processes. */
  constructor(options: LedgerWorldOptions) {
    this.#options = options;
    this.#scheduler = new Scheduler(options.seed);
    this.#network = new Network(this.#scheduler, {
      faults: { loss: 0.02, duplication: 0.02, maxDelayMs: 8 },
      counts: this.#counts,
    });
    this.#processes = Array.from(
      { length: options.size },
      (_, i) =>
        new LedgerProcess({
          id: `l${i}`,
          hasDisk: i % 2 === 0,
          wantedBackups: options.size > 3 ? 2 : 1,
          scheduler: this.#scheduler,
          guards: { ...ALL_LEDGER_GUARDS, ...options.guards },
          ports: {
            send: (message) => this.#send(message),
            applied: (process, entry, error) =>
              this.#onApplied(process, entry, error),
            proposeView: (view) => this.#commitView(view),
            violation: (text) => this.#fail(text),
          },
        }),
    );
  }

  /** Runs to the end or to the first broken promise. */
  run(): RunResult {
    for (const fault of this.#options.faults) {
      this.#scheduler.after(fault.at, () => this.#inject(fault));
    }
    this.#scheduler.everyAbout(APPEND_GAP_MS, () => this.#append());
    this.#scheduler.everyAbout(DETECT_GAP_MS, () => this.#detect());
    const { lengthMs } = this.#options;
    this.#scheduler.runWhile(() => this.#violation === undefined, lengthMs);
    return {
      violation: this.#violation,
      steps: this.#scheduler.steps,
      faults: this.#counts,
      work: { answered: this.#answered.size, views: this.#views },
    };
  }

  #fail(text: string): void {
    this.#violation ??= `${Math.round(this.#scheduler.now)} ms: ${text}`;
  }

  #byName(name: string): LedgerProcess | undefined {
    return this.#processes.find((p) => p.name === name);
  }

  #send(message: LedgerMessage): void {
    const instance = (name: string) => name.split("#")[0];
    const from = instance(message.from);
    const to = instance(message.to);
    this.#network.send({ from, to }, () => {
      const receiver = this.#processes.find((p) => p.id === to);
      receiver?.run((replica) => replica.receive(message));
    });
  }

  /** What the primary applies is answered; it may never change again. */
  #onApplied(process: LedgerProcess, entry: LedgerEntry, error?: Error): void {
    const epoch = process.replica?.view?.epoch ?? 0;
    const name = `${epoch}/${entry.index}`;
    const digest = JSON.stringify(entry.record);
    const known = this.#answered.get(name);
    if (known !== undefined && known !== digest) {
      this.#fail(`Record ${name} differs at ${process.name}`);
    }
    if (!(process.replica?.isPrimary ?? false)) return;
    if (known === undefined) this.#answered.set(name, digest);
    if (error === undefined) this.#checkAnswer(process, name, entry.record);
  }

  #checkAnswer(
    process: LedgerProcess,
    name: string,
    record: LedgerRecord,
  ): void {
    if (record.type === "callStarted") {
      const owner = `${record.key}@${name}`;
      const isNew = !this.#starts.has(owner);
      const others = [...this.#starts].filter((s) =>
        s.startsWith(`${record.key}@`)
      );
      if (isNew && others.length > 0) {
        this.#fail(`Call ${record.key} started at ${others} and ${name}`);
      }
      this.#starts.add(owner);
    }
    if (record.type !== "samplesDelivered") return;
    const step = process.replica?.state.getStep(record);
    for (const sample of step?.read(0) ?? []) {
      const id = `${record.step}/${sample.number}`;
      const text = JSON.stringify(sample);
      const known = this.#numbers.get(id);
      if (known !== undefined && known !== text) {
        this.#fail(`Sample ${id} differs at ${process.name}`);
      }
      this.#numbers.set(id, text);
    }
  }

  #append(): void {
    const primary = this.#scheduler.pick(this.#processes);
    if (!primary.isActive || !(primary.replica?.isPrimary ?? false)) return;
    this.#records += 1;
    primary.append(this.#draw(primary));
  }

  #draw(primary: LedgerProcess): LedgerRecord {
    const step = `s${Math.floor(this.#records / SLOTS)}`;
    const key = { workspace: "artis", step };
    const known = primary.replica?.state.getStep(key);
    if (known === undefined) return stepRecord(step);
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
      const through = Math.floor(known.delivered * this.#scheduler.random());
      return { type: "samplesAcked", ...key, through };
    }
    const slot = Math.floor(this.#scheduler.random() * SLOTS);
    const sample = {
      slot,
      text: `${primary.name} ${this.#records}`,
      finishReason: "stop",
      tokens: 1,
      versions: [1],
      firstTokenAt: 0,
      targetId: "t",
    };
    return { type: "samplesDelivered", ...key, samples: [sample] };
  }

  /** The stand-in for the control log: the next number wins, once. */
  #commitView(view: LedgerView): void {
    if (view.number !== (this.#view?.number ?? 0) + 1) return;
    this.#view = view;
    this.#views += 1;
    for (const process of this.#processes) {
      const tell = () => process.run((replica) => replica.setView(view));
      this.#scheduler.after(this.#scheduler.between(1, 800), tell);
    }
  }

  #isThought(name: string): boolean {
    const process = this.#byName(name);
    if (process === undefined || !process.isActive) return false;
    return this.#scheduler.random() >= FALSE_SUSPICION;
  }

  #detect(): void {
    const view = this.#view;
    this.#tellView();
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
    const alive = members.filter((name) => this.#isThought(name));
    if (alive.length === members.length || alive.length === 0) return;
    const primary = alive.includes(view.primary) ? view.primary : alive[0];
    const backups = alive.filter((name) => name !== primary);
    this.#commitView({ ...view, number: view.number + 1, primary, backups });
  }

  /** A restarted process learns the view again. */
  #tellView(): void {
    const view = this.#view;
    if (view === undefined) return;
    for (const process of this.#processes) {
      if (process.replica?.view?.number === view.number) continue;
      process.run((replica) => replica.setView(view));
    }
  }

  #inject(fault: ScheduledFault): void {
    const index = Math.floor(fault.pick * this.#processes.length);
    const victim = this.#processes[index];
    countFault(this.#counts, fault.kind);
    const heal = (run: () => void) => this.#scheduler.after(fault.forMs, run);
    const handlers: Readonly<Record<FaultKind, () => void>> = {
      crash: () => this.#crash(victim, { losesDisk: false, heal }),
      pause: () => {
        const primary = this.#byName(this.#view?.primary ?? "") ?? victim;
        primary.pause();
        heal(() => primary.resume());
      },
      partition: () => this.#cut(victim, { isBoth: true, heal }),
      asymmetricPartition: () => this.#cut(victim, { isBoth: false, heal }),
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
      handover: () => this.#passOn(),
    };
    handlers[fault.kind]();
  }

  /** State is lost only as far as a member of the view keeps it. */
  #crash(
    victim: LedgerProcess,
    options: { losesDisk: boolean; heal: (run: () => void) => void },
  ): void {
    if (victim.replica === undefined) return;
    const members = this.#view === undefined
      ? []
      : [this.#view.primary, ...this.#view.backups];
    const losesState = options.losesDisk || !victim.hasDisk;
    const keepers = members.filter((name) =>
      name !== victim.name && this.#byName(name) !== undefined &&
      (this.#byName(name)?.hasDisk || this.#byName(name)?.replica !== undefined)
    );
    const isMember = members.includes(victim.name);
    if (losesState && isMember && keepers.length === 0) return;
    if (losesState) {
      countFault(this.#counts, "state lost");
      victim.loseDisk();
    } else victim.crash();
    options.heal(() => victim.start());
  }

  /** Another member becomes primary although nobody has failed. */
  #passOn(): void {
    const view = this.#view;
    if (view === undefined || view.backups.length === 0) return;
    const primary = this.#scheduler.pick(view.backups);
    const members = [view.primary, ...view.backups];
    const backups = members.filter((name) => name !== primary);
    this.#commitView({ ...view, number: view.number + 1, primary, backups });
  }

  #cut(
    victim: LedgerProcess,
    options: { isBoth: boolean; heal: (run: () => void) => void },
  ): void {
    const others = this.#processes.filter((p) => p !== victim).map((p) => p.id);
    options.heal(this.#network.isolate(victim.id, others, options));
  }
}

function stepRecord(id: string): LedgerRecord {
  return {
    type: "stepSubmitted",
    step: {
      id,
      workspace: "artis",
      keyId: "artis-1",
      route: "planner",
      model: "planner",
      groups: [{ id: "g", body: {}, samples: SLOTS }],
      staleness: { maxVersionsBehind: 1 },
      deadline: 0,
      tokensPerSample: 1,
    },
  };
}
