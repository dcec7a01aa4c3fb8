/** Runs one replica of the control log on its disk and its links. */
import {
  type ConsensusEffect,
  type ConsensusMessage,
  ConsensusNode,
  type ConsensusTimes,
  formatReplicaId,
  instanceOf,
  type LogEntry,
  type LogPosition,
  type LogSnapshot,
  nextMembers,
  Role,
} from "../../core/consensus/mod.ts";
import {
  type CommandAnswer,
  type ControlCommand,
  type ControlSnapshot,
  ControlState,
} from "../../core/control/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import { ControlStore } from "./control_store.ts";

type Effect = ConsensusEffect<ControlCommand, ControlSnapshot>;
type Write = Extract<Effect, { type: "write" }>;

/** Options of {@link ReplicaDriver}. */
export interface ReplicaDriverOptions {
  /** This instance. */
  readonly id: string;
  /** Data folder. */
  readonly dataFolder: string;
  /** Voters wanted. */
  readonly wantedVoters: number;
  /** Times of the protocol. */
  readonly times: ConsensusTimes;
  /** Logs. */
  readonly logger: Logger;
  /** Gets the local, steady clock in milliseconds. */
  readonly now: () => number;
  /** Sends a message. */
  readonly send: (
    to: string,
    message: ConsensusMessage<ControlCommand, ControlSnapshot>,
  ) => void;
  /** Gets the replicas of the control instances that are present. */
  readonly present: () => readonly string[];
  /** Hears of applied entries. */
  readonly onApplied: (
    entry: LogEntry<ControlCommand>,
    answer: CommandAnswer | undefined,
  ) => void;
  /** Hears of a restored state. */
  readonly onRestored: (snapshot: LogSnapshot<ControlSnapshot>) => void;
  /** Hears of a change of the role. */
  readonly onRole: (isLeader: boolean) => void;
}

/** Entries after which the log is compacted. */
const COMPACT_ENTRIES = 512;
const REPAIR_INTERVAL_MS = 500;
const REOPEN_MS = 2_000;
const MIN_TICK_MS = 5;

/** Owns the store and the node of one replica. */
export class ReplicaDriver {
  readonly #options: ReplicaDriverOptions;
  #store: ControlStore | undefined;
  #node: ConsensusNode<ControlCommand, ControlSnapshot> | undefined;
  #state = new ControlState();
  #applied = 0;
  #queue: Effect[] = [];
  #isBusy = false;
  #isStopped = false;
  #tickTimer: NodeJS.Timeout | undefined;
  #repairTimer: NodeJS.Timeout | undefined;
  #leaderSince = Infinity;

  /** Creates a driver that does not run yet. */
  constructor(options: ReplicaDriverOptions) {
    this.#options = options;
  }

  /** Gets the state as far as it has been applied. */
  get state(): ControlState {
    return this.#state;
  }

  /** Gets the greatest applied position. */
  get applied(): number {
    return this.#applied;
  }

  /** Gets the node while it runs. */
  get node(): ConsensusNode<ControlCommand, ControlSnapshot> | undefined {
    return this.#node;
  }

  /** Gets the replica's identity. */
  get replica(): string | undefined {
    return this.#store === undefined
      ? undefined
      : formatReplicaId(this.#options.id, this.#store.incarnation);
  }

  /** Gets whether this replica leads and has applied all that it committed. */
  get isReady(): boolean {
    const node = this.#node;
    return node !== undefined && node.isSettled &&
      this.#applied >= node.committed;
  }

  /** Gets the instance of the leader, as far as it is known. */
  get leaderInstance(): string | undefined {
    const leader = this.#node?.leader;
    return leader === undefined ? undefined : instanceOf(leader);
  }

  /** Gets the time at which this replica became leader. */
  get leaderSince(): number {
    return this.#leaderSince;
  }

  /** Opens the store and runs. */
  async start(): Promise<void> {
    const { dataFolder, logger, now } = this.#options;
    this.#store = await ControlStore.open({
      dataFolder,
      onDamaged: (detail) => logger.event("controlStoreDamaged", { detail }),
    });
    const { stored } = this.#store;
    this.#state = new ControlState().load(stored.snapshot.state);
    this.#applied = stored.snapshot.index;
    this.#queue = [];
    this.#isBusy = false;
    this.#node = new ConsensusNode({
      self: formatReplicaId(this.#options.id, this.#store.incarnation),
      stored,
      times: this.#options.times,
      random: Math.random,
      now: now(),
    });
    logger.event("controlRestored", {
      index: stored.snapshot.index,
      entries: stored.entries.length,
      replica: this.replica,
    });
    this.#options.onRestored(stored.snapshot);
    this.#schedule();
    this.#repairTimer = setInterval(() => this.#repair(), REPAIR_INTERVAL_MS);
  }

  /** Takes in a message. */
  receive(message: ConsensusMessage<ControlCommand, ControlSnapshot>): void {
    this.#run((node) => node.receive(message, this.#options.now()));
  }

  /** Adds a command to the log, where this replica leads. */
  propose(command: ControlCommand): LogPosition | undefined {
    let position: LogPosition | undefined;
    this.#run((node) => {
      position = node.propose(command, this.#options.now());
    });
    return position;
  }

  /** Hands leadership over, as before a shutdown. */
  yieldLeadership(): boolean {
    let isYielded = false;
    this.#run((node) => {
      isYielded = node.yieldLeadership(this.#options.now());
    });
    return isYielded;
  }

  /** Stops the replica. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#halt();
    await this.#store?.close().catch(() => {});
  }

  #halt(): void {
    clearTimeout(this.#tickTimer);
    clearInterval(this.#repairTimer);
    this.#node = undefined;
    this.#queue = [];
    if (this.#leaderSince === Infinity) return;
    this.#leaderSince = Infinity;
    this.#options.onRole(false);
  }

  #run(
    step: (node: ConsensusNode<ControlCommand, ControlSnapshot>) => void,
  ): void {
    const node = this.#node;
    if (node === undefined) return;
    try {
      step(node);
    } catch (err) {
      this.#stopOn(err);
      return;
    }
    this.#queue.push(...node.takeEffects());
    this.#schedule();
    this.#pump();
  }

  #schedule(): void {
    clearTimeout(this.#tickTimer);
    const node = this.#node;
    if (node === undefined) return;
    const { now } = this.#options;
    const delay = Math.max(MIN_TICK_MS, node.nextTickAt - now());
    this.#tickTimer = setTimeout(
      () => this.#run((n) => n.tick(now())),
      delay,
    );
  }

  #pump(): void {
    if (this.#isBusy) return;
    this.#isBusy = true;
    this.#carryOutAll()
      .catch((err) => this.#stopOn(err))
      .finally(() => {
        this.#isBusy = false;
        if (this.#queue.length > 0) this.#pump();
      });
  }

  /** Writes of one round are synced together, before anything else of it. */
  async #carryOutAll(): Promise<void> {
    while (this.#queue.length > 0) {
      const round = this.#queue;
      this.#queue = [];
      const writes = round.filter((e): e is Write => e.type === "write");
      const node = this.#node;
      if (node === undefined) return;
      if (writes.length > 0) {
        await this.#store?.write(writes, () => node.stored);
      }
      if (node !== this.#node) return;
      for (const effect of round) this.#carryOut(effect);
      const last = writes.at(-1);
      if (last === undefined) continue;
      this.#run((n) => {
        for (const write of writes) n.onWritten(write, this.#options.now());
      });
    }
  }

  #carryOut(effect: Effect): void {
    if (effect.type === "send") {
      this.#options.send(instanceOf(effect.message.to), effect.message);
    } else if (effect.type === "apply") {
      for (const entry of effect.entries) this.#apply(entry);
      this.#compact();
    } else if (effect.type === "restore") {
      this.#state = new ControlState().load(effect.snapshot.state);
      this.#applied = effect.snapshot.index;
      this.#options.onRestored(effect.snapshot);
    } else if (effect.type === "role") {
      this.#onRole(effect.role === Role.Leader, effect.term);
    }
  }

  #apply(entry: LogEntry<ControlCommand>): void {
    const { content } = entry;
    const answer = content.type === "command"
      ? this.#state.apply(content.command)
      : undefined;
    this.#applied = entry.index;
    this.#options.onApplied(entry, answer);
  }

  #compact(): void {
    const node = this.#node;
    if (node === undefined || node.logSize <= COMPACT_ENTRIES) return;
    node.compact(this.#state.save(), this.#applied);
    this.#queue.push(...node.takeEffects());
  }

  #onRole(isLeader: boolean, term: number): void {
    const { logger, now, onRole } = this.#options;
    const wasLeader = this.#leaderSince !== Infinity;
    if (isLeader === wasLeader) return;
    this.#leaderSince = isLeader ? now() : Infinity;
    const name = isLeader ? "becameControlLeader" : "lostControlLead";
    logger.event(name, { term, replica: this.replica });
    onRole(isLeader);
  }

  #repair(): void {
    const node = this.#node;
    if (node === undefined || !node.isSettled) return;
    const { now, present, wantedVoters, logger } = this.#options;
    const next = nextMembers({
      members: node.members,
      present: present(),
      wantedVoters,
      isWhole: (replica) => node.isWhole(replica, now()),
    });
    if (next === undefined) return;
    this.#run((n) => {
      if (n.proposeMembers(next, now()) === undefined) return;
      logger.event("controlMembers", {
        voters: next.voters,
        learners: next.learners,
      });
    });
  }

  /** A replica that cannot go on starts again from its disk. */
  #stopOn(err: unknown): void {
    const { logger } = this.#options;
    const isStore = (err as NodeJS.ErrnoException).code !== undefined &&
      (err as NodeJS.ErrnoException).syscall !== undefined;
    const name = isStore ? "controlStoreFailed" : "controlStopped";
    logger.event(name, { detail: String(err) });
    this.#halt();
    const store = this.#store;
    this.#store = undefined;
    store?.close().catch(() => {});
    const retry = () => {
      if (this.#isStopped) return;
      this.start().catch((again) => {
        logger.event("controlStoreFailed", { detail: String(again) });
        setTimeout(retry, REOPEN_MS);
      });
    };
    setTimeout(retry, REOPEN_MS);
  }
}
