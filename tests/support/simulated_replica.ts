/** A replica of a log in virtual time, with a disk and a processor. */
import {
  type ConsensusEffect,
  type ConsensusMessage,
  ConsensusNode,
  estimateBytes,
  formatReplicaId,
  type Members,
  nextMembers,
  type ReplicaId,
  type SnapshotDivider,
  type StateReferences,
} from "../../src/core/consensus/mod.ts";
import { sumOf } from "../../src/core/statistics/mod.ts";
import type { Scheduler } from "../../sim/scheduler.ts";
import { SimulatedTexts, type TextMessage } from "./simulated_texts.ts";

/** A command whose text is only counted. */
export interface SizedCommand {
  readonly id: number;
  readonly bytes: number;
}

/** State of all commands that were applied. */
export interface SizedState {
  readonly commands: readonly SizedCommand[];
  /** Commands whose texts are not there. */
  readonly missing: ReadonlySet<number>;
}

/** A message between simulated replicas. */
export type SizedMessage =
  | ConsensusMessage<SizedCommand, SizedState>
  | TextMessage;

type Node = ConsensusNode<SizedCommand, SizedState>;
type Effect = ConsensusEffect<SizedCommand, SizedState>;
type Write = Extract<Effect, { type: "write" }>;

/** Options of {@link SimulatedReplica}. */
export interface SimulatedReplicaOptions {
  readonly scheduler: Scheduler;
  readonly instance: string;
  /** Changes with each lost disk. */
  readonly incarnation: string;
  /** Whether the replica takes references in place of texts. */
  readonly takesReferences: boolean;
  /** State to begin with; without one, the replica has an empty disk. */
  readonly initial?: { readonly members: Members; readonly state: SizedState };
  readonly send: (message: SizedMessage, bytes: number) => void;
  /** Gets the replicas that are linked and announced. */
  readonly present: () => readonly ReplicaId[];
  /** Called by a leader for each command that it has applied. */
  readonly onAcknowledged: (id: number) => void;
}

const TIMING = {
  heartbeatMs: 100,
  electionMs: 500,
  maxElectionDelayMs: 1_000,
  clockRateError: 0.02,
};
const WANTED_VOTERS = 3;
const REPAIR_INTERVAL_MS = 300;
const MIN_TICK_MS = 5;
const SYNC_MS = 5;
const DISK_BYTES_PER_MS = 120_000;
/** Time of the processor for a message, without its size. */
const MESSAGE_MS = 0.1;
const PROCESSOR_BYTES_PER_MS = 100_000;
const PART_BYTES = 131_072;
/** Size of the entries above which a snapshot is made, in bytes. */
const COMPACT_BYTES = 10_485_760;
/** Size of all entries up to which those stay that members need, in bytes. */
const MAX_HELD_BYTES = 16_777_216;
/** Time in which a snapshot is written. */
const COMPACTION_MS = 400;

/** Size of a command in the state without its text, as a share of the text. */
const DETACHED_SHARE = 0.12;
const TEXTS_INTERVAL_MS = 1_000;

const NONE: ReadonlySet<number> = new Set();
const EMPTY = {
  members: { voters: [], learners: [] },
  state: { commands: [], missing: NONE },
};

/** A part of a state; only the first holds the commands. */
class SizedPart {
  readonly #bytes: number;
  readonly state: SizedState | undefined;

  constructor(bytes: number, state?: SizedState) {
    this.#bytes = bytes;
    this.state = state;
  }

  get estimatedBytes(): number {
    return this.#bytes;
  }
}

const DIVIDER: SnapshotDivider<SizedState> = {
  split: (state) => {
    const count = countParts(state);
    return Array.from(
      { length: count },
      (_, i) => new SizedPart(PART_BYTES, i === 0 ? state : undefined),
    );
  },
  join: (parts) => {
    const state = (parts[0] as SizedPart).state;
    if (state === undefined) throw new Error("The first part is missing");
    if (parts.length !== countParts(state)) {
      throw new Error("Parts are missing");
    }
    return state;
  },
};

function countParts({ commands, missing }: SizedState): number {
  let size = 0;
  for (const { id, bytes } of commands) {
    size += bytes * (missing.has(id) ? DETACHED_SHARE : 1 + DETACHED_SHARE);
  }
  return Math.max(1, Math.ceil(size / PART_BYTES));
}

/** Runs a consensus node as its driver does, until it loses its disk. */
export class SimulatedReplica {
  readonly id: ReplicaId;
  readonly node: Node;
  readonly #options: SimulatedReplicaOptions;
  readonly #texts: SimulatedTexts;
  #state: SizedState;
  #applied = 0;
  #effects: Effect[] = [];
  #isWriting = false;
  #isCompacting = false;
  #isStopped = false;
  #tickCount = 0;
  #busyUntil = 0;
  /** Factor on the time of the disk. */
  diskFactor = 1;
  /** Factor on the time of the processor. */
  processorFactor = 1;

  /** Starts the replica. */
  constructor(options: SimulatedReplicaOptions) {
    const { scheduler, instance, incarnation, initial, takesReferences } =
      options;
    const position = initial === undefined ? 0 : 1;
    const { members, state } = initial ?? EMPTY;
    this.#options = options;
    this.#state = state;
    this.#applied = position;
    this.id = formatReplicaId(instance, incarnation);
    this.node = new ConsensusNode({
      self: this.id,
      stored: {
        hardState: { term: position, votedFor: undefined },
        snapshot: { index: position, term: position, members, state },
        entries: [],
      },
      times: TIMING,
      random: scheduler.random,
      now: scheduler.now,
      sizeOf: ({ bytes }) => bytes,
      divider: DIVIDER,
      references: takesReferences ? this.#createReferences() : undefined,
    });
    this.#texts = this.#createTexts();
    this.#scheduleTick();
    this.#repairRegularly();
    this.#fetchRegularly();
  }

  #createReferences(): StateReferences<SizedCommand, SizedState> {
    return {
      isPartial: () => this.#state.missing.size > 0,
      getApplied: () => ({ index: this.#applied, state: this.#state }),
      detach: ({ commands }) => ({
        commands,
        missing: new Set(commands.map(({ id }) => id)),
      }),
      attach: ({ commands, missing }, pending) => {
        const held = new Set(
          [...this.#state.commands, ...pending]
            .map(({ id }) => id)
            .filter((id) => !this.#state.missing.has(id)),
        );
        const left = [...missing].filter((id) => !held.has(id));
        return { commands, missing: new Set(left) };
      },
    };
  }

  /** Gets the identifiers of all commands that were applied. */
  get applied(): readonly number[] {
    return this.#state.commands.map(({ id }) => id);
  }

  /** Gets the identifiers of the commands whose texts it has, applied or not. */
  get held(): readonly number[] {
    const { missing } = this.#state;
    const pending = this.node.stored.entries
      .flatMap(({ content }) =>
        content.type === "command" ? content.command.id : []
      );
    return [...this.applied.filter((id) => !missing.has(id)), ...pending];
  }

  get isLeader(): boolean {
    return !this.#isStopped && this.node.hasCommittedOwnTerm;
  }

  /** Stops the replica for good. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Lets the process stand still. */
  stall(durationMs: number): void {
    this.#busyUntil = Math.max(this.#busyUntil, this.#now + durationMs);
  }

  /** Hands the lead over to another voter. */
  transferLeadership(): void {
    this.#step((node) => node.transferLeadership(this.#now));
  }

  propose(command: SizedCommand): void {
    this.#step((node) => node.propose(command, this.#now));
  }

  /** Handles a message once the processor is free. */
  receive(message: SizedMessage, bytes: number): void {
    this.#whenFree(this.#costOf(bytes), () => {
      if (message.type === "textsRequest") this.#texts.serve(message);
      else if (message.type === "textsReply") this.#texts.onReply(message);
      else this.#receive(message as ConsensusMessage<SizedCommand, SizedState>);
    });
  }

  #receive(message: ConsensusMessage<SizedCommand, SizedState>): void {
    const isBehind = this.#isBehind(message.from);
    this.#step((node) => node.receive(message, this.#now));
    if (isBehind && !this.#isBehind(message.from)) this.checkMembers();
  }

  /** Proposes the change of members that is due. */
  checkMembers(): void {
    if (!this.isLeader) return;
    const next = nextMembers({
      members: this.node.members,
      present: this.#options.present(),
      wantedVoters: WANTED_VOTERS,
      wantedLearners: 0,
      isCaughtUp: (id) => this.node.isCaughtUp(id, this.#now),
      isPartial: (id) => this.node.isPartial(id),
    });
    if (next === undefined) return;
    this.#step((node) => node.proposeMembers(next, this.#now));
  }

  /** Makes a snapshot, which replaces the entries once it is written. */
  compact(): void {
    if (this.#isCompacting) return;
    const snapshot = this.node.createSnapshot(this.#state, this.#applied);
    if (snapshot === undefined) return;
    this.#isCompacting = true;
    this.#after(COMPACTION_MS * this.diskFactor, () => {
      this.#isCompacting = false;
      const options = { now: this.#now, maxBytes: MAX_HELD_BYTES };
      this.#step((node) => node.compact(snapshot, options));
    });
  }

  get #now(): number {
    return this.#options.scheduler.now;
  }

  #isBehind(replica: ReplicaId): boolean {
    return this.node.members.learners.includes(replica) &&
      !this.node.isCaughtUp(replica, this.#now);
  }

  #after(delayMs: number, run: () => void): void {
    this.#options.scheduler.after(delayMs, () => {
      if (!this.#isStopped) run();
    });
  }

  #costOf(bytes: number): number {
    const costMs = MESSAGE_MS + bytes / PROCESSOR_BYTES_PER_MS;
    return costMs * this.processorFactor;
  }

  /** Runs work once the processor has spent a time on it, in order. */
  #whenFree(costMs: number, run: () => void): void {
    this.#busyUntil = Math.max(this.#busyUntil, this.#now) + costMs;
    this.#after(this.#busyUntil - this.#now, run);
  }

  #repairRegularly(): void {
    this.#after(REPAIR_INTERVAL_MS, () => {
      this.#whenFree(0, () => this.checkMembers());
      this.#repairRegularly();
    });
  }

  #fetchRegularly(): void {
    this.#after(TEXTS_INTERVAL_MS, () => {
      if (this.node.members.voters.includes(this.id)) this.#texts.wake();
      this.#fetchRegularly();
    });
  }

  #createTexts(): SimulatedTexts {
    return new SimulatedTexts({
      scheduler: this.#options.scheduler,
      id: this.id,
      state: () => this.#state,
      isStopped: () => this.#isStopped,
      sources: () => this.node.members.voters.filter((id) => id !== this.id),
      send: (message) => this.#send(message),
      onTexts: (commands) => {
        const missing = new Set(this.#state.missing);
        for (const { id } of commands) missing.delete(id);
        this.#state = { ...this.#state, missing };
      },
    });
  }

  #scheduleTick(): void {
    this.#tickCount += 1;
    const tick = this.#tickCount;
    const delayMs = Math.max(MIN_TICK_MS, this.node.nextTickAt - this.#now);
    if (delayMs === Infinity) return;
    this.#after(delayMs, () => {
      if (tick !== this.#tickCount) return;
      this.#whenFree(0, () => this.#step((node) => node.tick(this.#now)));
    });
  }

  #step(step: (node: Node) => void): void {
    if (this.#isStopped) return;
    step(this.node);
    this.#effects.push(...this.node.takeEffects());
    this.#scheduleTick();
    this.#drainEffects();
  }

  #drainEffects(): void {
    while (!this.#isWriting && this.#effects.length > 0) {
      const round = this.#effects;
      this.#effects = [];
      const writes = round.filter((e): e is Write => e.type === "write");
      if (writes.length === 0) {
        for (const effect of round) this.#execute(effect);
        continue;
      }
      this.#isWriting = true;
      this.#after(this.#writeMs(writes), () => {
        this.#isWriting = false;
        for (const effect of round) this.#execute(effect);
        this.#step((node) => {
          for (const write of writes) node.onWritten(write, this.#now);
        });
      });
    }
  }

  #writeMs(writes: readonly Write[]): number {
    let bytes = 0;
    for (const { entries = [] } of writes) {
      for (const { content } of entries) {
        if (content.type === "command") bytes += content.command.bytes;
      }
    }
    return this.diskFactor * (SYNC_MS + bytes / DISK_BYTES_PER_MS);
  }

  #execute(effect: Effect): void {
    if (effect.type === "send") this.#send(effect.message);
    else if (effect.type === "apply") {
      for (const { index, content } of effect.entries) {
        this.#applied = index;
        if (content.type === "members") {
          this.#after(0, () => this.checkMembers());
        }
        if (content.type === "command") this.#apply(content.command);
      }
      if (this.node.logBytes > this.#maxLogBytes) this.compact();
    } else if (effect.type === "restore") {
      this.#state = effect.snapshot.state;
      this.#applied = effect.snapshot.index;
    }
  }

  get #maxLogBytes(): number {
    return this.node.isSendingSnapshot ? 2 * COMPACT_BYTES : COMPACT_BYTES;
  }

  #apply(command: SizedCommand): void {
    const { commands, missing } = this.#state;
    this.#state = { commands: [...commands, command], missing };
    if (this.isLeader) this.#options.onAcknowledged(command.id);
  }

  #send(message: SizedMessage): void {
    const bytes = bytesOf(message);
    this.#whenFree(
      this.#costOf(bytes),
      () => this.#options.send(message, bytes),
    );
  }
}

function bytesOf(message: SizedMessage): number {
  if (message.type === "snapshotPartRequest") {
    return message.parts.reduce<number>((sum, p) => sum + estimateBytes(p), 0);
  }
  if (message.type === "textsReply") {
    return sumOf(message.commands, ({ bytes }) => bytes);
  }
  if (message.type !== "appendRequest") return 0;
  let bytes = 0;
  for (const { content } of message.entries) {
    if (content.type === "command") bytes += content.command.bytes;
  }
  return bytes;
}
