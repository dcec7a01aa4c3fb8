/** Repairs of a log whose replicas lose their disks one after the other. */
import {
  formatReplicaId,
  instanceOf,
  type Members,
  type ReplicaId,
} from "../../src/core/consensus/mod.ts";
import { Scheduler } from "../../sim/scheduler.ts";
import {
  SimulatedReplica,
  type SizedMessage,
  type SizedState,
} from "./simulated_replica.ts";

/** What disturbs each repair of a run. */
export const Disturbance = {
  None: "none",
  /** The links of the returned instance are exchanged, at random times. */
  LinksExchanged: "linksExchanged",
  /** One of 50 messages of the log is lost. */
  MessagesLost: "messagesLost",
  /** Each message arrives twice, the second time up to 30 ms late. */
  MessagesDoubled: "messagesDoubled",
  /** Messages arrive up to 30 ms late, in order on each connection. */
  MessagesLate: "messagesLate",
  /** The leader hands its lead over. */
  LeaderChanged: "leaderChanged",
  /** The leader stands still for a time. */
  LeaderStalled: "leaderStalled",
  /** The process of the learner starts again before it holds the state. */
  LearnerRestarted: "learnerRestarted",
  /** The leader replaces its snapshot. */
  SnapshotReplaced: "snapshotReplaced",
  /** All disks take three times as long. */
  SlowDisks: "slowDisks",
  /** All processors take twice as long. */
  BusyProcessors: "busyProcessors",
  /** All processors take three times as long, and all disks four times. */
  SlowMachines: "slowMachines",
} as const;

/** One of the values of {@link Disturbance}. */
export type Disturbance = typeof Disturbance[keyof typeof Disturbance];

/** Options of {@link simulateRepairs}. */
export interface RepairSimulationOptions {
  readonly seed: number;
  /** Size of the state at the first loss, in bytes. */
  readonly stateBytes: number;
  readonly disturbance: Disturbance;
  /** Time from the return of a lost instance to the next loss. */
  readonly catchUpMs: number;
  readonly hasSpare: boolean;
  /** Whether replicas take references in place of texts. */
  readonly takesReferences: boolean;
}

/** Result of {@link simulateRepairs}. */
export interface RepairReport {
  /** Time from the return of each lost instance to the group being whole. */
  readonly repairsMs: readonly number[];
  /** Commands that were acknowledged and are not there at the end. */
  readonly lost: readonly number[];
  /** Commands whose texts no replica has, after any loss. */
  readonly lostTexts: readonly number[];
}

const LOSSES = 3;
const VOTERS = ["a", "b", "c"];
const SPARE = "d";
const FORMATION_MS = 3_000;
/** Time for which an instance that lost its disk is down. */
const DOWN_MS = 2_000;
/** Range of the time in which a started instance is linked and announced. */
const JOIN_MS = { min: 50, max: 300 };
const COMMAND_INTERVAL_MS = 60;
const COMMAND_BYTES = 30_000;
/** Size of the text of each command of the first state, in bytes. */
const INITIAL_COMMAND_BYTES = 100_000;
const LATENCY_MS = 1.4;
/** Rate of one connection: a window of 64 KiB in each round trip. */
const CONNECTION_BYTES_PER_MS = 65_536 / (2 * LATENCY_MS);
/** Rate of a machine's port: 600 Mbit/s. */
const PORT_BYTES_PER_MS = 75_000;
/** Connections for parts of snapshots. */
const BULK_CONNECTIONS = 4;
const POLL_MS = 10;
const EXCHANGES = 3;
const LOSS_SHARE = 0.02;
const MAX_LATE_MS = 30;
const STALL_MS = 1_000;

/**
 * Loses the disks of voters one after the other, each some time after the last
 * instance has returned.
 */
export function simulateRepairs(options: RepairSimulationOptions) {
  return new RepairSimulation(options).run();
}

class RepairSimulation {
  readonly #options: RepairSimulationOptions;
  readonly #scheduler: Scheduler;
  readonly #replicas = new Map<string, SimulatedReplica>();
  readonly #present = new Set<ReplicaId>();
  /** Number of times that the link of two instances was exchanged. */
  readonly #links = new Map<string, number>();
  /** Time until which each connection, and each port, is busy. */
  readonly #busyUntil = new Map<string, number>();
  /** Time at which the last message of each connection arrives. */
  readonly #arrivals = new Map<string, number>();
  readonly #acknowledged: number[] = [];
  readonly #repairsMs: number[] = [];
  readonly #lostTexts = new Set<number>();
  #commands = 0;
  #incarnations = 0;
  #isDisturbed = false;

  constructor(options: RepairSimulationOptions) {
    this.#options = options;
    this.#scheduler = new Scheduler(options.seed);
  }

  run(): RepairReport {
    this.#formGroup();
    this.#proposeRegularly();
    this.#scheduler.runUntil(FORMATION_MS);
    for (let i = 0; i < LOSSES; i += 1) this.#loseDisk();
    return {
      repairsMs: this.#repairsMs,
      lost: this.#findLost(),
      lostTexts: [...this.#lostTexts],
    };
  }

  get #now(): number {
    return this.#scheduler.now;
  }

  get #leader(): SimulatedReplica | undefined {
    return [...this.#replicas.values()]
      .filter(({ isLeader }) => isLeader)
      .sort((a, b) => b.node.term - a.node.term)[0];
  }

  #formGroup(): void {
    const voters = VOTERS.map((id) => formatReplicaId(id, "0"));
    const initial = {
      members: { voters, learners: [] },
      state: this.#createState(),
    };
    for (const instance of VOTERS) this.#start(instance, initial);
    if (this.#options.hasSpare) this.#start(SPARE);
    for (const { id } of this.#replicas.values()) this.#present.add(id);
  }

  /** Creates a state of commands that no one has waited for. */
  #createState(): SizedState {
    const length = this.#options.stateBytes / INITIAL_COMMAND_BYTES;
    const commands = Array.from(
      { length },
      (_, i) => ({ id: -1 - i, bytes: INITIAL_COMMAND_BYTES }),
    );
    return { commands, missing: new Set() };
  }

  #start(
    instance: string,
    initial?: { readonly members: Members; readonly state: SizedState },
  ): void {
    const replica = new SimulatedReplica({
      scheduler: this.#scheduler,
      instance,
      incarnation: String(this.#incarnations),
      takesReferences: this.#options.takesReferences,
      initial,
      send: (message, bytes) => this.#send(message, bytes),
      present: () => [...this.#present],
      onAcknowledged: (id) => this.#acknowledged.push(id),
    });
    this.#replicas.set(instance, replica);
  }

  #proposeRegularly(): void {
    this.#scheduler.after(COMMAND_INTERVAL_MS, () => {
      this.#commands += 1;
      this.#leader?.propose({ id: this.#commands, bytes: COMMAND_BYTES });
      this.#proposeRegularly();
    });
  }

  /** Loses the disk of a voter, and waits as long as the next may take. */
  #loseDisk(): void {
    const voters = this.#leader?.node.members.voters ?? [];
    if (voters.length === 0) return;
    const instance = instanceOf(this.#scheduler.pick(voters));
    const replica = this.#replicas.get(instance)!;
    replica.stop();
    this.#present.delete(replica.id);
    this.#replicas.delete(instance);
    this.#findLostTexts();
    this.#scheduler.runUntil(this.#now + DOWN_MS);
    this.#return(instance);
    this.#disturb(instance);
    const returnedAt = this.#now;
    const endsAt = returnedAt + this.#options.catchUpMs;
    let wholeAt = Infinity;
    while (this.#now < endsAt) {
      this.#scheduler.runUntil(Math.min(endsAt, this.#now + POLL_MS));
      if (!this.#isWhole) wholeAt = Infinity;
      else wholeAt = Math.min(wholeAt, this.#now);
    }
    this.#isDisturbed = false;
    this.#setFactors(1, 1);
    this.#repairsMs.push(wholeAt - returnedAt);
  }

  #return(instance: string): void {
    this.#incarnations += 1;
    this.#start(instance);
    const { id } = this.#replicas.get(instance)!;
    const joinMs = this.#scheduler.between(JOIN_MS.min, JOIN_MS.max);
    this.#scheduler.after(joinMs, () => {
      this.#present.add(id);
      this.#leader?.checkMembers();
    });
  }

  /** Gets whether all voters run and the leader has committed them. */
  get #isWhole(): boolean {
    const node = this.#leader?.node;
    const voters = node?.committedMembers.voters ?? [];
    return voters.length === VOTERS.length &&
      voters.every((id) => this.#replicas.get(instanceOf(id))?.id === id);
  }

  #disturb(instance: string): void {
    this.#isDisturbed = true;
    const { catchUpMs } = this.#options;
    const at = (run: () => void) =>
      this.#scheduler.after(this.#scheduler.between(0, catchUpMs / 2), run);
    const handlers: Partial<Record<Disturbance, () => void>> = {
      [Disturbance.LinksExchanged]: () => {
        for (let i = 0; i < EXCHANGES; i += 1) {
          at(() => this.#exchange(instance));
        }
      },
      [Disturbance.LeaderChanged]: () =>
        at(() => this.#leader?.transferLeadership()),
      [Disturbance.LeaderStalled]: () =>
        at(() => this.#leader?.stall(STALL_MS)),
      [Disturbance.LearnerRestarted]: () => at(() => this.#restart(instance)),
      [Disturbance.SnapshotReplaced]: () => {
        for (let i = 0; i < EXCHANGES; i += 1) {
          at(() => this.#leader?.compact());
        }
      },
      [Disturbance.SlowDisks]: () => this.#setFactors(3, 1),
      [Disturbance.BusyProcessors]: () => this.#setFactors(1, 2),
      [Disturbance.SlowMachines]: () => this.#setFactors(4, 3),
    };
    handlers[this.#options.disturbance]?.();
  }

  /** Starts the process of an instance again whose disk is still empty. */
  #restart(instance: string): void {
    const replica = this.#replicas.get(instance);
    if (replica === undefined || replica.node.committed > 0) return;
    replica.stop();
    this.#start(instance);
  }

  #setFactors(disk: number, processor: number): void {
    for (const replica of this.#replicas.values()) {
      replica.diskFactor = disk;
      replica.processorFactor = processor;
    }
  }

  /** Replaces the links of an instance; what is on its way is lost. */
  #exchange(instance: string): void {
    for (const other of this.#replicas.keys()) {
      const link = linkOf(instance, other);
      this.#links.set(link, (this.#links.get(link) ?? 0) + 1);
    }
  }

  #send(message: SizedMessage, bytes: number): void {
    const { disturbance } = this.#options;
    const is = (kind: Disturbance) => this.#isDisturbed && disturbance === kind;
    const { random } = this.#scheduler;
    const isText = message.type === "textsRequest" ||
      message.type === "textsReply";
    const isLost = is(Disturbance.MessagesLost) && !isText &&
      random() < LOSS_SHARE;
    if (isLost) return;
    const [from, to] = [instanceOf(message.from), instanceOf(message.to)];
    const link = linkOf(from, to);
    const exchanges = this.#links.get(link);
    const isBulk = message.type === "snapshotPartRequest";
    const lateMs = is(Disturbance.MessagesLate) ? random() * MAX_LATE_MS : 0;
    const connections = isBulk
      ? Array.from({ length: BULK_CONNECTIONS }, (_, i) => `${from}>${to}/${i}`)
      : [`${from}>${to}`];
    const arrivesAt = this.#occupy(from, connections, { bytes, lateMs });
    const deliver = () => {
      if (this.#links.get(link) !== exchanges) return;
      this.#replicas.get(to)?.receive(message, bytes);
    };
    const delayMs = arrivesAt - this.#now;
    this.#scheduler.after(delayMs, deliver);
    if (!is(Disturbance.MessagesDoubled)) return;
    this.#scheduler.after(delayMs + random() * MAX_LATE_MS, deliver);
  }

  /**
   * Sends a message on the connection that is free first, through the port of
   * its machine.
   * @returns The time at which it arrives, after those before it.
   */
  #occupy(
    port: string,
    connections: readonly string[],
    { bytes, lateMs }: { readonly bytes: number; readonly lateMs: number },
  ): number {
    const freeAt = (key: string) =>
      Math.max(this.#now, this.#busyUntil.get(key) ?? 0);
    const [connection] = [...connections].sort((a, b) => freeAt(a) - freeAt(b));
    const portAt = freeAt(port) + bytes / PORT_BYTES_PER_MS;
    const connectionAt = freeAt(connection) + bytes / CONNECTION_BYTES_PER_MS;
    const sentAt = Math.max(portAt, connectionAt);
    this.#busyUntil.set(port, portAt);
    this.#busyUntil.set(connection, sentAt);
    const earlierAt = this.#arrivals.get(connection) ?? 0;
    const arrivesAt = Math.max(earlierAt, sentAt + LATENCY_MS + lateMs);
    this.#arrivals.set(connection, arrivesAt);
    return arrivesAt;
  }

  /** Records the commands that were acknowledged and whose texts are gone. */
  #findLostTexts(): void {
    const held = new Set(
      [...this.#replicas.values()].flatMap((replica) => replica.held),
    );
    const initial = this.#createState().commands.map(({ id }) => id);
    for (const id of [...initial, ...this.#acknowledged]) {
      if (!held.has(id)) this.#lostTexts.add(id);
    }
  }

  #findLost(): number[] {
    const applied = new Set(this.#leader?.applied);
    return this.#acknowledged.filter((id) => !applied.has(id));
  }
}

function linkOf(a: string, b: string): string {
  return [a, b].sort().join("-");
}
