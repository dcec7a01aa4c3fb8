/** Simulated process of the control log, for randomised runs. */
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
  type CommandResult,
  type ControlCommand,
  type ControlSnapshot,
  ControlState,
} from "../src/core/control/mod.ts";
import { type OrderGuards, OrderSender } from "../src/core/orders/mod.ts";
import type { Scheduler } from "../sim/scheduler.ts";
import { ProcessSteps } from "./process_steps.ts";

type Effect = ConsensusEffect<ControlCommand, ControlSnapshot>;
type Message = ConsensusMessage<ControlCommand, ControlSnapshot>;
type Entry = LogEntry<ControlCommand>;

/** Timing of the consensus protocol in simulations. */
export const CONSENSUS_TIMING = {
  heartbeatMs: 100,
  electionMs: 1_000,
  clockRateError: 0.02,
} as const;

/** Maximum duration of sending an order, in milliseconds. */
export const MAX_SEND_MS = 400;
/** Log size above which the log is compacted, in entries. */
const MAX_LOG_ENTRIES = 60;
/** Size of the entries up to which those stay that members need, in bytes. */
const MAX_HELD_BYTES = 65_536;
const TICK_INTERVAL_MS = 20;

/** Callbacks from a process to its simulation. */
export interface ControlProcessCallbacks {
  /** Sends a message over the simulated network. */
  send(message: Message): void;
  /** Called after an entry is applied; the result is that of its command. */
  applied(process: ControlProcess, entry: Entry, result?: CommandResult): void;
  /** Called after the state is restored from the snapshot of a leader. */
  restored(
    process: ControlProcess,
    snapshot: LogSnapshot<ControlSnapshot>,
  ): void;
  /** Called after a change of the role in the consensus protocol. */
  role(process: ControlProcess): void;
  /** Called when a process resumes, before it handles deferred messages. */
  resuming(process: ControlProcess): void;
  /** Called when an invariant is violated or a step throws. */
  violation(text: string): void;
}

/** Options of {@link ControlProcess}. */
export interface ControlProcessOptions {
  /** Identifier of the instance. */
  readonly id: string;
  /** Rate of the local clock relative to virtual time; 1 is exact. */
  readonly clockRate: number;
  /** Initial members. */
  readonly members: Members;
  /** Scheduler of virtual time. */
  readonly scheduler: Scheduler;
  /** Callbacks to the simulation. */
  readonly callbacks: ControlProcessCallbacks;
  /** Safety checks of the consensus protocol that are enabled. */
  readonly guards: ConsensusGuards;
  /** Safety checks of the order sender that are enabled. */
  readonly orderGuards: OrderGuards;
}

/** Content that survives a crash: only what a completed write has stored. */
interface Disk {
  incarnation: string;
  hardState: HardState;
  snapshot: LogSnapshot<ControlSnapshot>;
  entries: Entry[];
}

/**
 * Simulates a control instance with its disk and clock through crashes, pauses
 * and lost disks.
 */
export class ControlProcess {
  readonly #options: ControlProcessOptions;
  #disk: Disk;
  #node: ConsensusNode<ControlCommand, ControlSnapshot> | undefined;
  #incarnationCount = 1;
  readonly #steps: ProcessSteps<Effect>;
  /** Replicated state machine. */
  state = new ControlState();
  /** Sends orders to the platform while this process leads. */
  sender: OrderSender;
  /** Index of the last applied entry. */
  applied = 0;

  /** Creates and starts a process. */
  constructor(options: ControlProcessOptions) {
    this.#options = options;
    this.#disk = createEmptyDisk("first", options.members);
    this.#steps = new ProcessSteps({
      scheduler: options.scheduler,
      takeEffects: () => this.#node?.takeEffects() ?? [],
      runEffect: (effect) => this.#runEffect(effect),
      onError: (err) => options.callbacks.violation(`${this.replica}: ${err}`),
    });
    this.sender = this.#createSender();
    this.start();
  }

  /** Gets the identifier of the instance. */
  get id(): string {
    return this.#options.id;
  }

  /** Gets the replica's identifier, with the incarnation of its disk. */
  get replica(): string {
    return formatReplicaId(this.id, this.#disk.incarnation);
  }

  /** Gets the consensus node; undefined while the process is down. */
  get node(): ConsensusNode<ControlCommand, ControlSnapshot> | undefined {
    return this.#node;
  }

  /** Gets whether it is running and not paused. */
  get isActive(): boolean {
    return this.#steps.isActive;
  }

  /** Gets the time of the local clock, in milliseconds. */
  get now(): number {
    return this.#options.scheduler.now * this.#options.clockRate + 1_000;
  }

  /** Starts from the content of the disk, unless running. */
  start(): void {
    if (this.#steps.isRunning) return;
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
      times: CONSENSUS_TIMING,
      random: scheduler.random,
      now: this.now,
      guards,
    });
    this.#steps.start()
      .repeat(TICK_INTERVAL_MS, () => this.#node?.tick(this.now));
  }

  /** Crashes; writes that are not synced are lost. */
  crash(): void {
    this.#node = undefined;
    this.#steps.crash();
  }

  /** Crashes and loses the disk; the next start is as a new replica. */
  loseDisk(): void {
    this.crash();
    if (!this.#options.guards.incarnationCheck) {
      this.#disk = createEmptyDisk("first", this.#options.members);
      return;
    }
    this.#incarnationCount += 1;
    const noMembers: Members = { voters: [], learners: [] };
    this.#disk = createEmptyDisk(`d${this.#incarnationCount}`, noMembers);
  }

  /** Pauses the process as SIGSTOP does; its clock runs on. */
  pause(): void {
    this.#steps.pause();
  }

  /**
   * Resumes a paused process and runs its deferred steps.
   *
   * In half of the cases the `resuming` callback runs first, so that the
   * process acts before it has handled messages that arrived during the pause.
   */
  resume(): void {
    const { callbacks, scheduler } = this.#options;
    this.#steps.resume(() => {
      if (scheduler.random() < 0.5) callbacks.resuming(this);
    });
  }

  /** Handles a message from the network. */
  receive(message: Message): void {
    this.run(() => this.#node?.receive(message, this.now));
  }

  /** Runs a step of the process, or defers it until the end of a pause. */
  run(step: () => void): void {
    this.#steps.run(step);
  }

  #createSender(): OrderSender {
    return new OrderSender({
      times: {
        leaseMs: CONSENSUS_TIMING.electionMs,
        longestSendMs: MAX_SEND_MS,
        clockRateError: CONSENSUS_TIMING.clockRateError,
      },
      guards: this.#options.orderGuards,
    });
  }

  #runEffect(effect: Effect): void {
    const { callbacks } = this.#options;
    if (effect.type === "write") this.#write(effect);
    else if (effect.type === "send") callbacks.send(effect.message);
    else if (effect.type === "apply") {
      effect.entries.forEach((e) => this.#apply(e));
    } else if (effect.type === "restore") {
      this.state = new ControlState().load(effect.snapshot.state);
      this.applied = effect.snapshot.index;
      callbacks.restored(this, effect.snapshot);
    } else callbacks.role(this);
  }

  #apply(entry: Entry): void {
    this.applied = entry.index;
    const { content } = entry;
    const result = content.type === "command"
      ? this.state.apply(content.command)
      : undefined;
    this.#options.callbacks.applied(this, entry, result);
    if (this.#node !== undefined && this.#node.logSize > MAX_LOG_ENTRIES) {
      const state = this.state.save();
      const snapshot = this.#node.createSnapshot(state, this.applied);
      if (snapshot === undefined) return;
      const options = { now: this.now, maxBytes: MAX_HELD_BYTES };
      this.#node.compact(snapshot, options);
    }
  }

  #write(effect: Extract<Effect, { type: "write" }>): void {
    this.#steps.write(() => this.#store(effect), {
      ms: this.#options.scheduler.between(0.2, 8),
      onWritten: () => this.#node?.onWritten(effect, this.now),
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

  /** Gets whether the process considers itself leader. */
  get isLeader(): boolean {
    return this.#node?.role === Role.Leader;
  }
}

function createEmptyDisk(incarnation: string, members: Members): Disk {
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
