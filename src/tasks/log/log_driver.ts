/** Runs one replica of a replicated log on its store and its links. */
import {
  allMembers,
  type ConsensusEffect,
  type ConsensusMessage,
  ConsensusNode,
  formatReplicaId,
  getUndivided,
  instanceOf,
  type LogEntry,
  type LogPosition,
  type Members,
  type ReplicaId,
  Role,
  type StateReferences,
} from "../../core/consensus/mod.ts";
import { isStorageError } from "../storage/mod.ts";
import { EffectQueue, type WriteEffect } from "./effect_queue.ts";
import { LeadershipWaiters } from "./leadership_waiters.ts";
import { type CompactedReplica, LogCompactor } from "./log_compactor.ts";
import type { LogDriverOptions } from "./log_driver_options.ts";
import { LogStoppedError } from "./log_stopped_error.ts";
import { LogStore } from "./log_store.ts";
import { MemberRepair } from "./member_repair.ts";
import { SnapshotPartFiles } from "./snapshot_part_files.ts";
import type { StateMachine } from "./state_machine.ts";
import { DISK_RETRY_DELAY_MS, untilStored } from "./store_retry.ts";

/** Defaults of {@link LogDriverOptions}. */
const COMPACT_ENTRIES = 512;
const COMPACT_BYTES = 8_388_608;
const REPAIR_INTERVAL_MS = 300;
const RESTART_DELAY_MS = 2_000;
const MIN_TICK_MS = 5;

/**
 * Owns the store and the consensus node of one replica, and executes the node's
 * effects. After a failure it reopens the store and starts again.
 */
export class LogDriver<C, S, A, M extends StateMachine<C, S, A>> {
  readonly #options: LogDriverOptions<C, S, A, M>;
  #store: LogStore<C, S> | undefined;
  #node: ConsensusNode<C, S> | undefined;
  #state: M;
  #applied = 0;
  #effects: EffectQueue<C, S> | undefined;
  #isStopped = false;
  #tickTimer: NodeJS.Timeout | undefined;
  #repairTimer: NodeJS.Timeout | undefined;
  #leaderSince = Infinity;
  readonly #leadershipWaiters: LeadershipWaiters;
  readonly #repair: MemberRepair;
  readonly #compactor: LogCompactor<C, S>;
  readonly #parts: SnapshotPartFiles<C, S>;

  constructor(options: LogDriverOptions<C, S, A, M>) {
    this.#options = options;
    this.#state = options.createState();
    const { now, logger, name } = options;
    this.#repair = new MemberRepair({
      ...options,
      propose: (members) => this.#proposeMembers(members),
    });
    this.#compactor = new LogCompactor<C, S>({
      log: name,
      logger,
      movesState: options.openFiles !== undefined,
      maxEntries: options.compactEntries ?? COMPACT_ENTRIES,
      minBytes: options.compactBytes ?? COMPACT_BYTES,
      now,
      step: (step) => this.#step(step),
    });
    this.#parts = new SnapshotPartFiles<C, S>({
      divider: options.divider ?? getUndivided(),
      onFailed: (err) =>
        logger.event("snapshotPartLost", { log: name, detail: String(err) }),
      onUnreadable: ({ to, snapshot }) =>
        this.#step((node) => node.abandonTransfer(to, snapshot.index)),
    });
    this.#leadershipWaiters = new LeadershipWaiters({
      now,
      probe: () => this.#step((node) => node.probeQuorum(now())),
    });
  }

  /** Gets the state after the last applied entry. */
  get state(): M {
    return this.#state;
  }

  /** Gets the index of the last applied entry. */
  get applied(): number {
    return this.#applied;
  }

  /** Gets the consensus node; undefined while the replica is stopped. */
  get node(): ConsensusNode<C, S> | undefined {
    return this.#node;
  }

  /** Gets the replica's ID; undefined while the store is not open. */
  get replica(): string | undefined {
    return this.#store === undefined
      ? undefined
      : formatReplicaId(this.#options.id, this.#store.incarnation);
  }

  /** Gets whether this replica leads and has applied all committed entries. */
  get isReady(): boolean {
    const node = this.#node;
    return node !== undefined && node.hasCommittedOwnTerm &&
      this.#applied >= node.committed;
  }

  /**
   * Gets whether this replica leads and has applied all entries that earlier
   * leaders committed. Committed entries of its own may wait for a write.
   */
  get hasAppliedEarlierTerms(): boolean {
    return this.#node?.isOfOwnTerm(this.#applied) === true;
  }

  /** Gets whether data is missing, in memory or in the stored snapshot. */
  get isPartial(): boolean {
    return this.#state.isPartial === true || this.#compactor.isPartial;
  }

  /** Gets the instance of the leader; undefined if none is known. */
  get leaderInstance(): string | undefined {
    const leader = this.#node?.leader;
    return leader === undefined ? undefined : instanceOf(leader);
  }

  /** Gets the time at which this replica became leader; else Infinity. */
  get leaderSince(): number {
    return this.#leaderSince;
  }

  /**
   * Opens the store, once its disk can be used, restores the state and starts
   * the consensus node. Until then this replica neither votes nor answers.
   * @throws Error if the store cannot be opened, or was stopped meanwhile.
   */
  async start(): Promise<void> {
    const store = await this.retryStore(() => this.#openStore());
    try {
      if (this.#isStopped) throw new LogStoppedError(this.#options.name);
      this.#startOn(store);
    } catch (err) {
      this.#store = undefined;
      await store.close().catch(() => {});
      throw err;
    }
  }

  /** Repeats work on the store while its disk cannot be used. */
  retryStore<T>(work: () => Promise<T>): Promise<T> {
    const { logger, name: log } = this.#options;
    return untilStored({
      work,
      isStopped: () => this.#isStopped,
      onFailing: (detail, failedMs) =>
        logger.event("controlStoreFailed", { log, detail, failedMs }),
    });
  }

  #openStore(): Promise<LogStore<C, S>> {
    const { createState, dataFolder, forms, openFiles, logger, name } = this
      .#options;
    return LogStore.open<C, S>({
      dataFolder,
      name,
      emptyState: createState().save(),
      forms,
      openFiles,
      onDamaged: (detail) =>
        logger.event("controlStoreDamaged", { log: name, detail }),
    });
  }

  #startOn(store: LogStore<C, S>): void {
    const { logger, now } = this.#options;
    this.#store = store;
    const stored = store.takeStored();
    this.#state = this.#options.createState().load(stored.snapshot.state);
    this.#applied = stored.snapshot.index;
    this.#node = new ConsensusNode({
      self: formatReplicaId(this.#options.id, this.#store.incarnation),
      stored,
      times: this.#options.times,
      random: Math.random,
      now: now(),
      sizeOf: this.#options.sizeOf,
      hold: this.#options.hold,
      divider: this.#options.divider,
      references: this.#createReferences(),
    });
    this.#effects = this.#createEffectQueue(store, this.#node);
    this.#compactor.onSnapshot(stored.snapshot, this.#state);
    logger.event("controlRestored", {
      log: this.#options.name,
      index: stored.snapshot.index,
      entries: stored.entries.length,
      replica: this.replica,
    });
    this.#options.onRestored(stored.snapshot);
    this.#linkMembers(this.#node);
    this.#scheduleTick();
    this.#repairTimer = setInterval(
      () => this.checkMembers(),
      REPAIR_INTERVAL_MS,
    );
  }

  #createReferences(): StateReferences<C, S> | undefined {
    const { detach } = this.#options;
    if (detach === undefined) return undefined;
    return {
      isPartial: () => this.isPartial,
      getApplied: () => ({ index: this.#applied, state: this.#state.save() }),
      detach,
      attach: (state, pending) => this.#state.attach?.(state, pending) ?? state,
    };
  }

  #createEffectQueue(
    store: LogStore<C, S>,
    node: ConsensusNode<C, S>,
  ): EffectQueue<C, S> {
    return new EffectQueue<C, S>({
      write: (writes) => store.write(writes, () => node.stored),
      execute: (effect) => this.#execute(effect),
      onWritten: (writes) => this.#onWritten(writes),
      onFailed: (err) => this.#restartAfter(err),
      now: this.#options.now,
    });
  }

  #onWritten(writes: readonly WriteEffect<C, S>[]): void {
    const hasSnapshot = writes.some(({ snapshot }) => snapshot !== undefined);
    if (hasSnapshot) this.#compactor.onStored();
    this.#step((node) => {
      for (const write of writes) node.onWritten(write, this.#options.now());
    });
  }

  /**
   * Requests links to the members at once, so that they are up by the first
   * election: a message sent before its link is up is lost.
   */
  #linkMembers({ members }: ConsensusNode<C, S>): void {
    for (const replica of allMembers(members)) {
      if (replica !== this.replica) {
        this.#options.keepLink?.(instanceOf(replica));
      }
    }
  }

  /**
   * Makes this empty replica one of the initial voters of a new log.
   * @returns Whether it became one. A replica that already has members or a
   * term, or that is not among the voters, is left unchanged.
   */
  async bootstrapMembers(voters: readonly ReplicaId[]): Promise<boolean> {
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
    this.#stopNode();
    const write: WriteEffect<C, S> = {
      type: "write",
      snapshot,
      lastIndex: 0,
      term: 0,
    };
    try {
      await store.write([write], () => ({ ...stored, snapshot }));
      await store.close();
    } catch (err) {
      this.#restartAfter(err);
      throw err;
    }
    await this.start();
    return true;
  }

  /** Processes a message from another replica. */
  receive(message: ConsensusMessage<C, S>): void {
    const store = this.#store;
    if (message.type !== "snapshotPartRequest" || store?.files === undefined) {
      this.#receive(message);
      return;
    }
    this.#parts.receive(store.files, message, (received) => {
      if (this.#store === store) this.#receive(received);
    });
  }

  /** Proposes the change of members that is due, if this replica leads. */
  checkMembers(): void {
    this.#repair.run(this.#node);
  }

  #receive(message: ConsensusMessage<C, S>): void {
    const isBehind = this.#isBehind(message.from);
    this.#step((node) => node.receive(message, this.#options.now()));
    if (isBehind && !this.#isBehind(message.from)) this.#checkMembersSoon();
  }

  /** Gets whether a replica is a learner that does not hold all entries. */
  #isBehind(replica: ReplicaId): boolean {
    const node = this.#node;
    return node !== undefined && node.members.learners.includes(replica) &&
      !node.isCaughtUp(replica, this.#options.now());
  }

  /** Checks the members once the current step has been carried out. */
  #checkMembersSoon(): void {
    setImmediate(() => this.checkMembers());
  }

  /** Appends a command; returns undefined if this replica does not lead. */
  propose(command: C): LogPosition | undefined {
    let position: LogPosition | undefined;
    this.#step((node) => {
      position = node.propose(command, this.#options.now());
    });
    return position;
  }

  /**
   * Waits until a quorum has acknowledged this leader since the call.
   *
   * The state applied by then includes every entry that was committed before
   * the call. This does not depend on clocks.
   * @returns Whether it leads; false also if no quorum answers in time.
   */
  confirmLeadership(timeoutMs: number): Promise<boolean> {
    return this.#leadershipWaiters.wait(this.#node, timeoutMs);
  }

  /** Transfers leadership to another voter, for example before a shutdown. */
  transferLeadership(): boolean {
    let isTransferred = false;
    this.#step((node) => {
      isTransferred = node.transferLeadership(this.#options.now());
    });
    return isTransferred;
  }

  /** Stops the replica for good and closes the store. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#stopNode();
    await this.#store?.close().catch(() => {});
  }

  #stopNode(): void {
    clearTimeout(this.#tickTimer);
    clearInterval(this.#repairTimer);
    this.#leadershipWaiters.rejectAll();
    this.#node = undefined;
    this.#effects?.stop();
    if (this.#leaderSince === Infinity) return;
    this.#leaderSince = Infinity;
    this.#options.onRole(false);
  }

  #step(
    step: (node: ConsensusNode<C, S>) => void,
  ): void {
    const node = this.#node;
    if (node === undefined) return;
    try {
      step(node);
    } catch (err) {
      this.#restartAfter(err);
      return;
    }
    const effects = node.takeEffects();
    this.#scheduleTick();
    this.#effects?.add(effects);
    this.#leadershipWaiters.settle(node, this.#applied);
  }

  #scheduleTick(): void {
    clearTimeout(this.#tickTimer);
    const node = this.#node;
    if (node === undefined || node.nextTickAt === Infinity) return;
    const { now } = this.#options;
    const delay = Math.max(MIN_TICK_MS, node.nextTickAt - now());
    this.#tickTimer = setTimeout(
      () => this.#step((n) => n.tick(now())),
      delay,
    );
  }

  #execute(effect: ConsensusEffect<C, S>): void {
    if (effect.type === "send") this.#send(effect.message);
    else if (effect.type === "apply") {
      for (const entry of effect.entries) this.#apply(entry);
      this.#compactIfDue();
      const isRepairing = effect.entries
        .some(({ content }) => content.type === "members");
      if (isRepairing) this.#checkMembersSoon();
    } else if (effect.type === "restore") {
      this.#state = this.#options.createState().load(effect.snapshot.state);
      this.#applied = effect.snapshot.index;
      this.#compactor.onSnapshot(effect.snapshot, this.#state);
      this.#options.onRestored(effect.snapshot);
    } else if (effect.type === "role") {
      this.#onRole(effect.role === Role.Leader, effect.term);
    }
  }

  #send(message: ConsensusMessage<C, S>): void {
    const send = (sent: ConsensusMessage<C, S>) =>
      this.#options.send(instanceOf(sent.to), sent);
    const files = this.#store?.files;
    if (files === undefined) send(message);
    else this.#parts.send(files, message, send);
  }

  #apply(entry: LogEntry<C>): void {
    const { content } = entry;
    const result = content.type === "command"
      ? this.#state.apply(content.command)
      : undefined;
    this.#applied = entry.index;
    this.#options.onApplied(entry, result);
  }

  /** Makes a snapshot of what is applied, unless one is being made. */
  compact(): void {
    const replica = this.#getCompacted();
    if (replica !== undefined) this.#compactor.start(replica);
  }

  #compactIfDue(): void {
    const replica = this.#getCompacted();
    if (replica !== undefined) this.#compactor.check(replica);
  }

  #getCompacted(): CompactedReplica<C, S> | undefined {
    const [node, store] = [this.#node, this.#store];
    if (node === undefined || store === undefined) return undefined;
    return { node, store, applied: this.#applied, state: this.#state };
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

  #proposeMembers(members: Members): void {
    const { logger, now, name } = this.#options;
    this.#step((node) => {
      if (node.proposeMembers(members, now()) === undefined) return;
      const { voters, learners } = members;
      logger.event("controlMembers", { log: name, voters, learners });
    });
  }

  /** Stops the replica after a failure, and restarts it from its store. */
  #restartAfter(err: unknown): void {
    const { logger } = this.#options;
    const isStoreError = isStorageError(err);
    const name = isStoreError ? "controlStoreFailed" : "controlStopped";
    logger.event(name, { log: this.#options.name, detail: String(err) });
    this.#stopNode();
    const store = this.#store;
    this.#store = undefined;
    store?.close().catch(() => {});
    const retry = () => {
      if (this.#isStopped) return;
      this.start().catch((retryErr) => {
        if (this.#isStopped) return;
        logger.event("controlStoreFailed", {
          log: this.#options.name,
          detail: String(retryErr),
        });
        setTimeout(retry, DISK_RETRY_DELAY_MS);
      });
    };
    setTimeout(retry, isStoreError ? DISK_RETRY_DELAY_MS : RESTART_DELAY_MS);
  }
}
