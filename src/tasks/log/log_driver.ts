/** Runs one replica of a replicated log on its disk and its links. */
import {
  allMembers,
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
  type ReplicaId,
  Role,
} from "../../core/consensus/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import { LogStore } from "./log_store.ts";
import type { StateMachine } from "./state_machine.ts";

type Write<C, S> = Extract<ConsensusEffect<C, S>, { type: "write" }>;

/** Options of {@link LogDriver}. */
export interface LogDriverOptions<C, S, A, M extends StateMachine<C, S, A>> {
  /** This instance. */
  readonly id: string;
  /** Data folder. */
  readonly dataFolder: string;
  /** Voters wanted. */
  readonly wantedVoters: () => number;
  /** Name of the log, which is also the name of its folder. */
  readonly name: string;
  /** Creates the application in its first state. */
  readonly createState: () => M;
  /** Entries after which the log is compacted. */
  readonly compactEntries?: number;
  /** Gets about how many bytes a command takes; none counts where absent. */
  readonly sizeOf?: (command: C) => number;
  /** Times of the protocol. */
  readonly times: ConsensusTimes;
  /** Logs. */
  readonly logger: Logger;
  /** Gets the local, steady clock in milliseconds. */
  readonly now: () => number;
  /** Sends a message. */
  readonly send: (
    to: string,
    message: ConsensusMessage<C, S>,
  ) => void;
  /** Begins to keep a link to the instance of a member; none where absent. */
  readonly keepLink?: (instance: string) => void;
  /** Gets the replicas that are present. */
  readonly present: () => readonly string[];
  /** Learners wanted besides those that replace a voter; all where absent. */
  readonly wantedLearners?: number;
  /** Gets whether a replica is away for good; none where absent. */
  readonly isGone?: (replica: ReplicaId) => boolean;
  /** Hears of applied entries. */
  readonly onApplied: (
    entry: LogEntry<C>,
    answer: A | undefined,
  ) => void;
  /** Hears of a restored state. */
  readonly onRestored: (snapshot: LogSnapshot<S>) => void;
  /** Hears of a change of the role. */
  readonly onRole: (isLeader: boolean) => void;
}

/** Entries after which the log is compacted. */
const COMPACT_ENTRIES = 512;
const REPAIR_INTERVAL_MS = 300;
const REOPEN_MS = 2_000;
const MIN_TICK_MS = 5;
/** Time for which questions about the lead are gathered. */
const PROBE_DELAY_MS = 4;

interface LeadWaiter {
  readonly since: number;
  readonly index: number;
  readonly term: number;
  readonly resolve: (isConfirmed: boolean) => void;
}

/** Owns the store and the node of one replica. */
export class LogDriver<C, S, A, M extends StateMachine<C, S, A>> {
  readonly #options: LogDriverOptions<C, S, A, M>;
  #store: LogStore<C, S> | undefined;
  #node: ConsensusNode<C, S> | undefined;
  #state: M;
  #applied = 0;
  #queue: ConsensusEffect<C, S>[] = [];
  #isBusy = false;
  #isStopped = false;
  #tickTimer: NodeJS.Timeout | undefined;
  #repairTimer: NodeJS.Timeout | undefined;
  #leaderSince = Infinity;
  #probeTimer: NodeJS.Timeout | undefined;
  readonly #leadWaiters = new Set<LeadWaiter>();

  /** Creates a driver that does not run yet. */
  constructor(options: LogDriverOptions<C, S, A, M>) {
    this.#options = options;
    this.#state = options.createState();
  }

  /** Gets the state as far as it has been applied. */
  get state(): M {
    return this.#state;
  }

  /** Gets the greatest applied position. */
  get applied(): number {
    return this.#applied;
  }

  /** Gets the node while it runs. */
  get node(): ConsensusNode<C, S> | undefined {
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
    this.#store = await LogStore.open<C, S>({
      dataFolder,
      name: this.#options.name,
      emptyState: this.#options.createState().save(),
      onDamaged: (detail) =>
        logger.event("controlStoreDamaged", {
          log: this.#options.name,
          detail,
        }),
    });
    const { stored } = this.#store;
    this.#state = this.#options.createState().load(stored.snapshot.state);
    this.#applied = stored.snapshot.index;
    this.#queue = [];
    this.#isBusy = false;
    this.#node = new ConsensusNode({
      self: formatReplicaId(this.#options.id, this.#store.incarnation),
      stored,
      times: this.#options.times,
      random: Math.random,
      now: now(),
      sizeOf: this.#options.sizeOf,
    });
    logger.event("controlRestored", {
      log: this.#options.name,
      index: stored.snapshot.index,
      entries: stored.entries.length,
      replica: this.replica,
    });
    this.#options.onRestored(stored.snapshot);
    this.#linkMembers(this.#node);
    this.#schedule();
    this.#repairTimer = setInterval(() => this.#repair(), REPAIR_INTERVAL_MS);
  }

  /** Links are up by the first election: what it sends into none is lost. */
  #linkMembers({ members }: ConsensusNode<C, S>): void {
    for (const replica of allMembers(members)) {
      if (replica !== this.replica) {
        this.#options.keepLink?.(instanceOf(replica));
      }
    }
  }

  /**
   * Makes this empty replica one of the first members of a new log.
   * @returns Whether it has become a member; a log that has members stays.
   */
  async form(voters: readonly ReplicaId[]): Promise<boolean> {
    const store = this.#store;
    const node = this.#node;
    if (store === undefined || node === undefined) return false;
    const hasMembers = node.members.voters.length > 0 || node.term > 0;
    if (hasMembers || !voters.includes(node.self)) return false;
    const { stored } = node;
    const snapshot = {
      ...stored.snapshot,
      members: { voters, learners: [] },
    };
    this.#halt();
    const write: Write<C, S> = {
      type: "write",
      snapshot,
      lastIndex: 0,
      term: 0,
    };
    await store.write([write], () => ({ ...stored, snapshot }));
    await store.close();
    await this.start();
    return true;
  }

  /** Takes in a message. */
  receive(message: ConsensusMessage<C, S>): void {
    this.#run((node) => node.receive(message, this.#options.now()));
  }

  /** Adds a command to the log, where this replica leads. */
  propose(command: C): LogPosition | undefined {
    let position: LogPosition | undefined;
    this.#run((node) => {
      position = node.propose(command, this.#options.now());
    });
    return position;
  }

  /**
   * Waits until a quorum has followed this leader since the call.
   *
   * What has been applied by then holds everything that was committed before
   * the call, whatever the clocks say.
   * @returns Whether it leads; false also where no quorum answers in time.
   */
  confirmLead(timeoutMs: number): Promise<boolean> {
    const { now } = this.#options;
    const node = this.#node;
    if (node === undefined || !node.isSettled) return Promise.resolve(false);
    const barrier = { since: now(), index: node.committed, term: node.term };
    return new Promise((resolve) => {
      const waiter: LeadWaiter = {
        ...barrier,
        resolve: (isConfirmed) => {
          clearTimeout(timer);
          this.#leadWaiters.delete(waiter);
          resolve(isConfirmed);
        },
      };
      const timer = setTimeout(() => waiter.resolve(false), timeoutMs);
      this.#leadWaiters.add(waiter);
      this.#probeSoon();
    });
  }

  /** Questions that come close together are answered by one round. */
  #probeSoon(): void {
    if (this.#probeTimer !== undefined) return;
    this.#probeTimer = setTimeout(() => {
      this.#probeTimer = undefined;
      this.#run((n) => n.probeQuorum(this.#options.now()));
    }, PROBE_DELAY_MS);
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
    clearTimeout(this.#probeTimer);
    this.#probeTimer = undefined;
    for (const waiter of [...this.#leadWaiters]) waiter.resolve(false);
    this.#node = undefined;
    this.#queue = [];
    if (this.#leaderSince === Infinity) return;
    this.#leaderSince = Infinity;
    this.#options.onRole(false);
  }

  #run(
    step: (node: ConsensusNode<C, S>) => void,
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
    if (this.#leadWaiters.size > 0) this.#settleLeadWaiters(node);
  }

  #settleLeadWaiters(node: ConsensusNode<C, S>): void {
    const contactAt = node.contactAt(this.#options.now());
    for (const waiter of [...this.#leadWaiters]) {
      const isLost = !node.isSettled || node.term !== waiter.term;
      if (isLost) waiter.resolve(false);
      const isApplied = this.#applied >= waiter.index;
      if (contactAt >= waiter.since && isApplied) waiter.resolve(true);
    }
  }

  #schedule(): void {
    clearTimeout(this.#tickTimer);
    const node = this.#node;
    if (node === undefined || node.nextTickAt === Infinity) return;
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
      const writes = round.filter((e): e is Write<C, S> => e.type === "write");
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

  #carryOut(effect: ConsensusEffect<C, S>): void {
    if (effect.type === "send") {
      this.#options.send(instanceOf(effect.message.to), effect.message);
    } else if (effect.type === "apply") {
      for (const entry of effect.entries) this.#apply(entry);
      this.#compact();
    } else if (effect.type === "restore") {
      this.#state = this.#options.createState().load(effect.snapshot.state);
      this.#applied = effect.snapshot.index;
      this.#options.onRestored(effect.snapshot);
    } else if (effect.type === "role") {
      this.#onRole(effect.role === Role.Leader, effect.term);
    }
  }

  #apply(entry: LogEntry<C>): void {
    const { content } = entry;
    const answer = content.type === "command"
      ? this.#state.apply(content.command)
      : undefined;
    this.#applied = entry.index;
    this.#options.onApplied(entry, answer);
  }

  #compact(): void {
    const node = this.#node;
    if (
      node === undefined ||
      node.logSize <= (this.#options.compactEntries ?? COMPACT_ENTRIES)
    ) return;
    node.compact(this.#state.save(), this.#applied);
    this.#queue.push(...node.takeEffects());
  }

  #onRole(isLeader: boolean, term: number): void {
    const { logger, now, onRole } = this.#options;
    const wasLeader = this.#leaderSince !== Infinity;
    if (isLeader === wasLeader) return;
    this.#leaderSince = isLeader ? now() : Infinity;
    const name = isLeader ? "becameControlLeader" : "lostControlLead";
    logger.event(name, {
      log: this.#options.name,
      term,
      replica: this.replica,
    });
    onRole(isLeader);
  }

  #repair(): void {
    const node = this.#node;
    if (node === undefined || !node.isSettled) return;
    const { now, present, wantedVoters, logger } = this.#options;
    const next = nextMembers({
      members: node.members,
      present: present(),
      wantedVoters: wantedVoters(),
      wantedLearners: this.#options.wantedLearners,
      isGone: this.#options.isGone,
      isWhole: (replica) => node.isWhole(replica, now()),
    });
    if (next === undefined) return;
    this.#run((n) => {
      if (n.proposeMembers(next, now()) === undefined) return;
      logger.event("controlMembers", {
        log: this.#options.name,
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
    logger.event(name, { log: this.#options.name, detail: String(err) });
    this.#halt();
    const store = this.#store;
    this.#store = undefined;
    store?.close().catch(() => {});
    const retry = () => {
      if (this.#isStopped) return;
      this.start().catch((again) => {
        logger.event("controlStoreFailed", {
          log: this.#options.name,
          detail: String(again),
        });
        setTimeout(retry, REOPEN_MS);
      });
    };
    setTimeout(retry, REOPEN_MS);
  }
}
