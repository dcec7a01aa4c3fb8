/** One process of the control log in a randomised run. */
import {
  type ConsensusEffect,
  type ConsensusGuards,
  type ConsensusMessage,
  ConsensusNode,
  formatReplicaId,
  type HardState,
  type LogEntry,
  type LogSnapshot,
  type Members,
  Role,
  type StoredLog,
} from "../src/core/consensus/mod.ts";
import {
  type CommandAnswer,
  type ControlCommand,
  type ControlSnapshot,
  ControlState,
} from "../src/core/control/mod.ts";
import { type OrderGuards, OrderSender } from "../src/core/orders/mod.ts";
import type { Scheduler } from "../sim/scheduler.ts";

type Effect = ConsensusEffect<ControlCommand, ControlSnapshot>;
type Message = ConsensusMessage<ControlCommand, ControlSnapshot>;
type Entry = LogEntry<ControlCommand>;

/** Times of the protocol in the runs. */
export const TIMES = {
  heartbeatMs: 100,
  electionMs: 1_000,
  clockRateError: 0.02,
} as const;

/** Longest send of an order in the runs, in milliseconds. */
export const LONGEST_SEND_MS = 400;
/** Entries after which the log is compacted in the runs. */
const COMPACT_ENTRIES = 60;
const TICK_MS = 20;

/** What a run hears from its processes. */
export interface ControlProcessPorts {
  /** Carries a message. */
  send(message: Message): void;
  /** Hears of an applied entry. */
  applied(process: ControlProcess, entry: Entry, answer?: CommandAnswer): void;
  /** Hears of a loaded snapshot. */
  restored(
    process: ControlProcess,
    snapshot: LogSnapshot<ControlSnapshot>,
  ): void;
  /** Hears of a new role. */
  role(process: ControlProcess): void;
  /** Hears that a paused process goes on, before it reads anything. */
  resuming(process: ControlProcess): void;
  /** Hears of a broken promise. */
  violation(text: string): void;
}

/** Options of {@link ControlProcess}. */
export interface ControlProcessOptions {
  /** Instance. */
  readonly id: string;
  /** Rate of its clock against true time. */
  readonly clockRate: number;
  /** Members at the start. */
  readonly members: Members;
  /** Virtual time. */
  readonly scheduler: Scheduler;
  /** What the run hears. */
  readonly ports: ControlProcessPorts;
  /** Checks in place. */
  readonly guards: ConsensusGuards;
  /** Checks of orders in place. */
  readonly orderGuards: OrderGuards;
}

interface Disk {
  incarnation: string;
  hardState: HardState;
  snapshot: LogSnapshot<ControlSnapshot>;
  entries: Entry[];
}

/** Keeps a replica, its disk and its clock over crashes and pauses. */
export class ControlProcess {
  readonly #options: ControlProcessOptions;
  #disk: Disk;
  #node: ConsensusNode<ControlCommand, ControlSnapshot> | undefined;
  #life = 0;
  #incarnations = 1;
  #queue: Effect[] = [];
  #isWriting = false;
  #isPaused = false;
  #inbox: (() => void)[] = [];
  /** State of the application. */
  state = new ControlState();
  /** Sender of orders. */
  sender: OrderSender;
  /** Greatest applied position. */
  applied = 0;

  /** Creates a process that runs. */
  constructor(options: ControlProcessOptions) {
    this.#options = options;
    this.#disk = emptyDisk("first", options.members);
    this.sender = this.#createSender();
    this.start();
  }

  /** Gets the instance. */
  get id(): string {
    return this.#options.id;
  }

  /** Gets the replica, with the incarnation of its disk. */
  get replica(): string {
    return formatReplicaId(this.id, this.#disk.incarnation);
  }

  /** Gets the replica's node while it runs. */
  get node(): ConsensusNode<ControlCommand, ControlSnapshot> | undefined {
    return this.#node;
  }

  /** Gets whether it is running and not paused. */
  get isActive(): boolean {
    return this.#node !== undefined && !this.#isPaused;
  }

  /** Gets the time of its own clock. */
  get now(): number {
    return this.#options.scheduler.now * this.#options.clockRate + 1_000;
  }

  /** Starts from the disk. */
  start(): void {
    if (this.#node !== undefined) return;
    this.#life += 1;
    const stored: StoredLog<ControlCommand, ControlSnapshot> = {
      hardState: this.#disk.hardState,
      snapshot: this.#disk.snapshot,
      entries: [...this.#disk.entries],
    };
    const { scheduler, guards } = this.#options;
    this.state = new ControlState().load(stored.snapshot.state);
    this.applied = stored.snapshot.index;
    this.sender = this.#createSender();
    this.#node = new ConsensusNode({
      self: this.replica,
      stored,
      times: TIMES,
      random: scheduler.random,
      now: this.now,
      guards,
    });
    this.#tick(this.#life);
  }

  /** Stops at once; writes that are not synced are lost. */
  crash(): void {
    this.#node = undefined;
    this.#life += 1;
    this.#queue = [];
    this.#isWriting = false;
    this.#isPaused = false;
    this.#inbox = [];
  }

  /** Loses the disk; the next start is that of a new replica. */
  loseDisk(): void {
    this.crash();
    if (!this.#options.guards.incarnationCheck) {
      this.#disk = emptyDisk("first", this.#options.members);
      return;
    }
    this.#incarnations += 1;
    const none: Members = { voters: [], learners: [] };
    this.#disk = emptyDisk(`d${this.#incarnations}`, none);
  }

  /** Stops the process without ending it. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Lets a paused process go on, with all that came in meanwhile. */
  resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    const inbox = this.#inbox;
    this.#inbox = [];
    const { ports, scheduler } = this.#options;
    if (scheduler.random() < 0.5) ports.resuming(this);
    for (const run of inbox) run();
    this.#drain();
  }

  /** Takes in a message from the network. */
  receive(message: Message): void {
    const life = this.#life;
    this.run(() => {
      if (life === this.#life) this.#node?.receive(message, this.now);
    });
  }

  /** Runs a step of the process: now, or when its pause is over. */
  run(step: () => void): void {
    if (this.#node === undefined) return;
    if (this.#isPaused) {
      this.#inbox.push(() => this.run(step));
      return;
    }
    try {
      step();
    } catch (err) {
      this.#options.ports.violation(`${this.replica}: ${err}`);
    }
    this.#drain();
  }

  #createSender(): OrderSender {
    return new OrderSender({
      times: {
        leaseMs: TIMES.electionMs,
        longestSendMs: LONGEST_SEND_MS,
        clockRateError: TIMES.clockRateError,
      },
      guards: this.#options.orderGuards,
    });
  }

  #tick(life: number): void {
    this.#options.scheduler.after(TICK_MS, () => {
      if (life !== this.#life) return;
      if (!this.#isPaused) this.run(() => this.#node?.tick(this.now));
      this.#tick(life);
    });
  }

  #drain(): void {
    const effects = this.#node?.takeEffects() ?? [];
    this.#queue.push(...effects);
    while (!this.#isWriting && !this.#isPaused) {
      const effect = this.#queue.shift();
      if (effect === undefined) return;
      this.#carryOut(effect);
    }
  }

  #carryOut(effect: Effect): void {
    const { ports } = this.#options;
    if (effect.type === "write") this.#write(effect);
    else if (effect.type === "send") ports.send(effect.message);
    else if (effect.type === "apply") {
      effect.entries.forEach((e) => this.#apply(e));
    } else if (effect.type === "restore") {
      this.state = new ControlState().load(effect.snapshot.state);
      this.applied = effect.snapshot.index;
      ports.restored(this, effect.snapshot);
    } else ports.role(this);
  }

  #apply(entry: Entry): void {
    this.applied = entry.index;
    const { content } = entry;
    const answer = content.type === "command"
      ? this.state.apply(content.command)
      : undefined;
    this.#options.ports.applied(this, entry, answer);
    if (this.#node !== undefined && this.#node.logSize > COMPACT_ENTRIES) {
      this.#node.compact(this.state.save(), this.applied);
    }
  }

  #write(effect: Extract<Effect, { type: "write" }>): void {
    this.#isWriting = true;
    const life = this.#life;
    const { scheduler } = this.#options;
    scheduler.after(scheduler.between(0.2, 8), () => {
      if (life !== this.#life) return;
      this.#isWriting = false;
      this.#store(effect);
      this.run(() => this.#node?.onWritten(effect, this.now));
    });
  }

  #store(effect: Extract<Effect, { type: "write" }>): void {
    const disk = this.#disk;
    const { hardState, truncateFrom, entries, snapshot } = effect;
    if (hardState !== undefined) disk.hardState = hardState;
    if (truncateFrom !== undefined) {
      disk.entries = disk.entries.filter((e) => e.index < truncateFrom);
    }
    if (entries !== undefined) disk.entries.push(...entries);
    if (snapshot === undefined) return;
    disk.snapshot = snapshot;
    disk.entries = disk.entries.filter((e) => e.index > snapshot.index);
  }

  /** Gets whether the process leads, as far as it knows. */
  get isLeader(): boolean {
    return this.#node?.role === Role.Leader;
  }
}

function emptyDisk(incarnation: string, members: Members): Disk {
  return {
    incarnation,
    hardState: { term: 0, votedFor: undefined },
    snapshot: {
      index: 0,
      term: 0,
      members,
      state: new ControlState().save(),
    },
    entries: [],
  };
}
