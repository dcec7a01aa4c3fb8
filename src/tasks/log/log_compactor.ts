/** Replaces the applied entries of a log by a snapshot. */
import {
  type ConsensusNode,
  estimateBytes,
  type LogSnapshot,
} from "../../core/consensus/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { LogStore } from "./log_store.ts";
import type { StateMachine } from "./state_machine.ts";

/** Options of {@link LogCompactor}. */
export interface LogCompactorOptions<C, S> {
  /** Name of the log. */
  readonly log: string;
  readonly logger: Logger;
  /** Number of entries above which the log is compacted. */
  readonly maxEntries: number;
  /** Size of the entries above which the log is compacted, in bytes. */
  readonly minBytes: number;
  /** Whether parts of the state are moved to files of the store. */
  readonly movesState: boolean;
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
  /** Called to run a step of the node, once the snapshot has been written. */
  readonly step: (step: (node: ConsensusNode<C, S>) => void) => void;
}

/** Parts of a replica that a snapshot is made of. */
export interface CompactedReplica<C, S> {
  readonly node: ConsensusNode<C, S>;
  readonly store: LogStore<C, S>;
  /** Index of the last applied entry. */
  readonly applied: number;
  readonly state: CompactedState<S>;
}

/** What the compactor uses of a state machine. */
export type CompactedState<S> = Pick<
  StateMachine<never, S, unknown>,
  "bytes" | "movableBytes" | "isPartial" | "save" | "adoptMoved"
>;

/**
 * Share of the state's size that the rest of the log may reach, so that the cost
 * of writing snapshots stays in proportion to that of writing entries.
 */
const MAX_STATE_SHARE = 0.25;
/** Part of the limits that is added for each replica that compacts earlier. */
const STAGGER = 0.1;
/**
 * Factor on the limits while a member receives the snapshot in force, and for
 * entries that members still need.
 */
const TRANSFER_FACTOR = 2;

/**
 * Compacts a log when its entries exceed a number, or a size that the state no
 * longer shares with them. The leader is the last of the replicas.
 *
 * The snapshot is written beside the current file, so entries can be stored
 * meanwhile; only then the entries are removed.
 */
export class LogCompactor<C, S> {
  readonly #options: LogCompactorOptions<C, S>;
  #snapshotBytes = 0;
  #isPartial = false;
  /** Whether the snapshot that is being stored is partial; undefined if none is. */
  #isNextPartial: boolean | undefined;
  #isRunning = false;

  constructor(options: LogCompactorOptions<C, S>) {
    this.#options = options;
  }

  /** Records the snapshot that precedes the entries, of which a state was made. */
  onSnapshot({ state }: LogSnapshot<S>, machine: CompactedState<S>): this {
    this.#snapshotBytes = this.#bytesOf(machine) ?? estimateBytes(state);
    this.#isPartial = machine.isPartial === true;
    this.#isNextPartial = undefined;
    return this;
  }

  /** Records that the snapshot made last is stored. */
  onStored(): this {
    this.#isPartial = this.#isNextPartial ?? this.#isPartial;
    this.#isNextPartial = undefined;
    return this;
  }

  /** Gets whether data is missing that the stored snapshot refers to. */
  get isPartial(): boolean {
    return this.#isPartial;
  }

  /** Gets the size that a snapshot of a state has; undefined if not known. */
  #bytesOf({ bytes, movableBytes = 0 }: CompactedState<S>): number | undefined {
    if (bytes === undefined || !this.#options.movesState) return bytes;
    return bytes - movableBytes;
  }

  /** Starts to compact the log of a replica, if that is due. */
  check(replica: CompactedReplica<C, S>): void {
    if (!this.#isRunning && this.#isDue(replica)) this.start(replica);
  }

  /** Starts to compact the log of a replica, unless that is going on. */
  start(replica: CompactedReplica<C, S>): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    this.#compact(replica)
      .catch((err) => this.#onFailed(err))
      .finally(() => {
        this.#isRunning = false;
      });
  }

  #isDue({ node, state }: CompactedReplica<C, S>): boolean {
    const { maxEntries, minBytes } = this.#options;
    const transfer = node.isSendingSnapshot ? TRANSFER_FACTOR : 1;
    const factor = transfer * (1 + STAGGER * countEarlier(node));
    if (node.logSize > factor * maxEntries) return true;
    const heldBytes = this.#snapshotBytes + node.logBytes;
    if (heldBytes <= factor * minBytes) return false;
    // A state of unknown size shares the snapshot's bytes with the log.
    const stateBytes = this.#bytesOf(state) ?? this.#snapshotBytes;
    const maxBytes = this.#maxBytesFor(stateBytes);
    return heldBytes - stateBytes > factor * maxBytes;
  }

  /** Gets the size that the entries may exceed that of the state by. */
  #maxBytesFor(stateBytes: number): number {
    return Math.max(this.#options.minBytes, MAX_STATE_SHARE * stateBytes);
  }

  async #compact(
    { node, store, applied, state }: CompactedReplica<C, S>,
  ): Promise<void> {
    const stateBytes = this.#bytesOf(state);
    const isPartial = state.isPartial === true;
    const saved = state.save();
    const moved = await store.files?.moveState(saved) ?? saved;
    const snapshot = node.createSnapshot(moved, applied);
    if (snapshot === undefined) return;
    const fileBytes = await store.prepare(snapshot);
    const { now, step } = this.#options;
    step((current) => {
      if (current !== node) return;
      if (moved !== saved) state.adoptMoved?.(moved);
      const { logSize: entries, logBytes: bytes } = node;
      const maxBytes = TRANSFER_FACTOR *
        this.#maxBytesFor(stateBytes ?? fileBytes);
      const isInForce = node.compact(snapshot, { now: now(), maxBytes });
      if (!isInForce) return;
      this.#snapshotBytes = stateBytes ?? fileBytes;
      this.#isNextPartial = isPartial;
      const { log, logger } = this.#options;
      logger.event("logCompacted", {
        log,
        index: applied,
        entries: entries - node.logSize,
        bytes: bytes - node.logBytes,
        snapshotBytes: this.#snapshotBytes,
      });
    });
  }

  #onFailed(err: unknown): void {
    const { log, logger } = this.#options;
    logger.event("compactionFailed", { log, detail: String(err) });
  }
}

/** Counts the voters that compact before a replica. */
function countEarlier<C, S>(
  { self, leader, members }: ConsensusNode<C, S>,
): number {
  const voters = members.voters.filter((voter) => voter !== leader).sort();
  return self === leader ? voters.length : Math.max(0, voters.indexOf(self));
}
