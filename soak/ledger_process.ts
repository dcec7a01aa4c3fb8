/** Simulated process of a data centre's ledger, for randomised runs. */
import type { LedgerView } from "../src/core/views/mod.ts";
import {
  type LedgerEffect,
  type LedgerEntry,
  type LedgerGuards,
  type LedgerMessage,
  type LedgerRecord,
  LedgerReplica,
  LedgerState,
  type StoredLedger,
} from "../src/core/ledger/mod.ts";
import type { Scheduler } from "../sim/scheduler.ts";
import { ProcessSteps } from "./process_steps.ts";

/** Callbacks from a process to its simulation. */
export interface LedgerProcessCallbacks {
  /** Sends a message over the simulated network. */
  send(message: LedgerMessage): void;
  /** Called after a record is applied, with the error where it was refused. */
  applied(process: LedgerProcess, entry: LedgerEntry, error?: Error): void;
  /** Called when the replica proposes a view. */
  proposeView(view: LedgerView): void;
  /** Called when a step throws. */
  violation(text: string): void;
}

/** Options of {@link LedgerProcess}. */
export interface LedgerProcessOptions {
  /** Identifier of the instance. */
  readonly id: string;
  /** Whether its state survives a crash. */
  readonly hasDisk: boolean;
  /** Scheduler of virtual time. */
  readonly scheduler: Scheduler;
  /** Callbacks to the simulation. */
  readonly callbacks: LedgerProcessCallbacks;
  /** Desired number of backups. */
  readonly wantedBackups: number;
  /** Safety checks of the ledger that are enabled. */
  readonly guards: LedgerGuards;
}

interface Disk {
  incarnation: number;
  stored: StoredLedger;
}

const HELLO_INTERVAL_MS = 200;

/** Simulates a ledger instance with its disk through crashes and pauses. */
export class LedgerProcess {
  readonly #options: LedgerProcessOptions;
  #disk: Disk = createEmptyDisk(1);
  #replica: LedgerReplica | undefined;
  #startCount = 0;
  readonly #steps: ProcessSteps<LedgerEffect>;

  /** Creates and starts a process. */
  constructor(options: LedgerProcessOptions) {
    this.#options = options;
    this.#steps = new ProcessSteps({
      scheduler: options.scheduler,
      takeEffects: () => this.#replica?.takeEffects() ?? [],
      runEffect: (effect) => this.#runEffect(effect),
      onError: (err) => options.callbacks.violation(`${this.name}: ${err}`),
    });
    this.start();
  }

  /** Gets the identifier of the instance. */
  get id(): string {
    return this.#options.id;
  }

  /** Gets whether the state survives a crash. */
  get hasDisk(): boolean {
    return this.#options.hasDisk;
  }

  /** Gets the replica's identifier, with the incarnation of its state. */
  get name(): string {
    return `${this.id}#${this.#disk.incarnation}`;
  }

  /** Gets the replica; undefined while the process is down. */
  get replica(): LedgerReplica | undefined {
    return this.#replica;
  }

  /** Gets whether it is running and not paused. */
  get isActive(): boolean {
    return this.#steps.isActive;
  }

  /** Starts unless running; without a disk as a new, empty replica. */
  start(): void {
    if (this.#steps.isRunning) return;
    this.#startCount += 1;
    const { hasDisk, guards } = this.#options;
    if (!hasDisk && this.#startCount > 1) {
      this.#disk = createEmptyDisk(this.#disk.incarnation + 1);
    }
    this.#replica = new LedgerReplica({
      self: this.name,
      stored: this.#disk.stored,
      wantedBackups: this.#options.wantedBackups,
      guards,
    });
    this.#steps.start().repeat(HELLO_INTERVAL_MS, () => {
      this.#replica?.hello();
      this.#replica?.retryProposedView();
    });
  }

  /** Crashes; writes that are not synced are lost. */
  crash(): void {
    this.#replica = undefined;
    this.#steps.crash();
  }

  /** Crashes and loses the disk; the next start is as a new replica. */
  loseDisk(): void {
    this.crash();
    this.#disk = createEmptyDisk(this.#disk.incarnation + 1);
  }

  /** Pauses the process as SIGSTOP does. */
  pause(): void {
    this.#steps.pause();
  }

  /** Resumes a paused process and runs its deferred steps. */
  resume(): void {
    this.#steps.resume();
  }

  /** Runs a step of the process, or defers it until the end of a pause. */
  run(step: (replica: LedgerReplica) => void): void {
    this.#steps.run(() => {
      if (this.#replica !== undefined) step(this.#replica);
    });
  }

  /** Appends a record; the process must be primary. */
  append(record: LedgerRecord): void {
    this.run((replica) => replica.append(record));
  }

  #runEffect(effect: LedgerEffect): void {
    const { callbacks } = this.#options;
    if (effect.type === "write") this.#write(effect);
    else if (effect.type === "send") callbacks.send(effect.message);
    else if (effect.type === "applied") {
      callbacks.applied(this, effect.entry, effect.error);
    } else if (effect.type === "proposeView") {
      callbacks.proposeView(effect.view);
    }
  }

  #write(effect: Extract<LedgerEffect, { type: "write" }>): void {
    const { scheduler, hasDisk } = this.#options;
    this.#steps.write(() => this.#store(effect), {
      ms: hasDisk ? scheduler.between(0.2, 6) : 0,
      onWritten: () => this.#replica?.onWritten(effect.index),
    });
  }

  #store(effect: Extract<LedgerEffect, { type: "write" }>): void {
    const { stored } = this.#disk;
    const { truncateAfter, snapshot, base } = effect;
    const retainedEntries = snapshot !== undefined
      ? []
      : truncateAfter === undefined
      ? stored.entries
      : stored.entries.filter((e) => e.index <= truncateAfter);
    this.#disk.stored = {
      epoch: effect.epoch,
      view: effect.view,
      snapshot: snapshot ?? stored.snapshot,
      base: base ?? stored.base,
      entries: [...retainedEntries, ...effect.entries],
    };
  }
}

function createEmptyDisk(incarnation: number): Disk {
  return {
    incarnation,
    stored: {
      epoch: 0,
      view: 0,
      snapshot: new LedgerState().save(),
      base: { index: 0, view: 0 },
      entries: [],
    },
  };
}
