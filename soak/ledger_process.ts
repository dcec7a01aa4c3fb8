/** One process of a data centre's ledger in a randomised run. */
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

/** What a run hears from its processes. */
export interface LedgerProcessPorts {
  /** Carries a message. */
  send(message: LedgerMessage): void;
  /** Hears of an applied record. */
  applied(process: LedgerProcess, entry: LedgerEntry, error?: Error): void;
  /** Takes a proposed view. */
  proposeView(view: LedgerView): void;
  /** Hears of a broken promise. */
  violation(text: string): void;
}

/** Options of {@link LedgerProcess}. */
export interface LedgerProcessOptions {
  /** Instance. */
  readonly id: string;
  /** Whether it has a disk. */
  readonly hasDisk: boolean;
  /** Virtual time. */
  readonly scheduler: Scheduler;
  /** What the run hears. */
  readonly ports: LedgerProcessPorts;
  /** Backups wanted beside the primary. */
  readonly wantedBackups: number;
  /** Checks in place. */
  readonly guards: LedgerGuards;
}

interface Disk {
  incarnation: number;
  stored: StoredLedger;
}

const HELLO_GAP_MS = 200;

/** Keeps a ledger replica and its disk over crashes and pauses. */
export class LedgerProcess {
  readonly #options: LedgerProcessOptions;
  #disk: Disk = emptyDisk(1);
  #replica: LedgerReplica | undefined;
  #life = 0;
  #queue: LedgerEffect[] = [];
  #isWriting = false;
  #isPaused = false;
  #inbox: (() => void)[] = [];

  /** Creates a process that runs. */
  constructor(options: LedgerProcessOptions) {
    this.#options = options;
    this.start();
  }

  /** Gets the instance. */
  get id(): string {
    return this.#options.id;
  }

  /** Gets whether it has a disk. */
  get hasDisk(): boolean {
    return this.#options.hasDisk;
  }

  /** Gets the process with the incarnation of its state. */
  get name(): string {
    return `${this.id}#${this.#disk.incarnation}`;
  }

  /** Gets the replica while it runs. */
  get replica(): LedgerReplica | undefined {
    return this.#replica;
  }

  /** Gets whether it is running and not paused. */
  get isActive(): boolean {
    return this.#replica !== undefined && !this.#isPaused;
  }

  /** Starts, from the disk where there is one. */
  start(): void {
    if (this.#replica !== undefined) return;
    this.#life += 1;
    const { hasDisk, guards } = this.#options;
    if (!hasDisk && this.#life > 1) {
      this.#disk = emptyDisk(this.#disk.incarnation + 1);
    }
    this.#replica = new LedgerReplica({
      self: this.name,
      stored: this.#disk.stored,
      wantedBackups: this.#options.wantedBackups,
      guards,
    });
    this.#beat(this.#life);
  }

  /** Stops at once; writes that are not synced are lost. */
  crash(): void {
    this.#replica = undefined;
    this.#life += 1;
    this.#queue = [];
    this.#isWriting = false;
    this.#isPaused = false;
    this.#inbox = [];
  }

  /** Loses the disk. */
  loseDisk(): void {
    this.crash();
    this.#disk = emptyDisk(this.#disk.incarnation + 1);
  }

  /** Stops the process without ending it. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Lets a paused process go on. */
  resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    const inbox = this.#inbox;
    this.#inbox = [];
    for (const run of inbox) run();
    this.#drain();
  }

  /** Runs a step of the process: now, or when its pause is over. */
  run(step: (replica: LedgerReplica) => void): void {
    if (this.#replica === undefined) return;
    if (this.#isPaused) {
      const life = this.#life;
      this.#inbox.push(() => {
        if (life === this.#life) this.run(step);
      });
      return;
    }
    try {
      step(this.#replica);
    } catch (err) {
      this.#options.ports.violation(`${this.name}: ${err}`);
    }
    this.#drain();
  }

  /** Appends a record where this process is primary. */
  append(record: LedgerRecord): void {
    this.run((replica) => replica.append(record));
  }

  #beat(life: number): void {
    this.#options.scheduler.after(HELLO_GAP_MS, () => {
      if (life !== this.#life) return;
      if (!this.#isPaused) {
        this.run((replica) => {
          replica.hello();
          replica.repropose();
        });
      }
      this.#beat(life);
    });
  }

  #drain(): void {
    this.#queue.push(...this.#replica?.takeEffects() ?? []);
    while (!this.#isWriting && !this.#isPaused) {
      const effect = this.#queue.shift();
      if (effect === undefined) return;
      this.#carryOut(effect);
    }
  }

  #carryOut(effect: LedgerEffect): void {
    const { ports } = this.#options;
    if (effect.type === "write") this.#write(effect);
    else if (effect.type === "send") ports.send(effect.message);
    else if (effect.type === "applied") {
      ports.applied(this, effect.entry, effect.error);
    } else if (effect.type === "proposeView") ports.proposeView(effect.view);
  }

  #write(effect: Extract<LedgerEffect, { type: "write" }>): void {
    this.#isWriting = true;
    const life = this.#life;
    const { scheduler, hasDisk } = this.#options;
    scheduler.after(hasDisk ? scheduler.between(0.2, 6) : 0, () => {
      if (life !== this.#life) return;
      this.#isWriting = false;
      this.#store(effect);
      this.run((replica) => replica.onWritten(effect.index));
    });
  }

  #store(effect: Extract<LedgerEffect, { type: "write" }>): void {
    const { stored } = this.#disk;
    const { truncateAfter, snapshot, base } = effect;
    const kept = snapshot !== undefined
      ? []
      : truncateAfter === undefined
      ? stored.entries
      : stored.entries.filter((e) => e.index <= truncateAfter);
    this.#disk.stored = {
      epoch: effect.epoch,
      view: effect.view,
      snapshot: snapshot ?? stored.snapshot,
      base: base ?? stored.base,
      entries: [...kept, ...effect.entries],
    };
  }
}

function emptyDisk(incarnation: number): Disk {
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
