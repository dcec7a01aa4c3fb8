/** Replaces the applied entries of a log by a snapshot. */
import {
  type ConsensusNode,
  estimateBytes,
  type LogSnapshot,
} from "../../core/consensus/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { LogStore } from "./log_store.ts";

/** Options of {@link LogCompactor}. */
export interface LogCompactorOptions<C, S> {
  /** Name of the log. */
  readonly log: string;
  readonly logger: Logger;
  /** Number of entries above which the log is compacted. */
  readonly maxEntries: number;
  /** Size of the entries above which the log is compacted, in bytes. */
  readonly minBytes: number;
  /** Called to run a step of the node, once the snapshot has been written. */
  readonly step: (step: (node: ConsensusNode<C, S>) => void) => void;
}

/** Parts of a replica that a snapshot is made of. */
export interface CompactedReplica<C, S> {
  readonly node: ConsensusNode<C, S>;
  readonly store: LogStore<C, S>;
  /** Index of the last applied entry. */
  readonly applied: number;
  /** Creates a snapshot of the state after that entry. */
  readonly save: () => S;
}

/**
 * Share of the snapshot's size that the entries may reach, so that the cost of
 * writing snapshots stays in proportion to that of writing entries.
 */
const MAX_SNAPSHOT_SHARE = 0.5;
/** Factor on the limits while a member receives the snapshot in force. */
const TRANSFER_FACTOR = 2;

/**
 * Compacts a log when its entries exceed a number or a size.
 *
 * The snapshot is written beside the current file, so entries can be stored
 * meanwhile; only then the entries are removed.
 */
export class LogCompactor<C, S> {
  readonly #options: LogCompactorOptions<C, S>;
  #snapshotBytes = 0;
  #isRunning = false;

  constructor(options: LogCompactorOptions<C, S>) {
    this.#options = options;
  }

  /** Records the snapshot that precedes the entries. */
  onSnapshot({ state }: LogSnapshot<S>): this {
    this.#snapshotBytes = estimateBytes(state);
    return this;
  }

  /** Starts to compact the log of a replica, if that is due. */
  check(replica: CompactedReplica<C, S>): void {
    if (this.#isRunning || !this.#isDue(replica.node)) return;
    this.#isRunning = true;
    this.#compact(replica)
      .catch((err) => this.#onFailed(err))
      .finally(() => {
        this.#isRunning = false;
      });
  }

  #isDue(node: ConsensusNode<C, S>): boolean {
    const { maxEntries, minBytes } = this.#options;
    const factor = node.isSendingSnapshot ? TRANSFER_FACTOR : 1;
    const share = MAX_SNAPSHOT_SHARE * this.#snapshotBytes;
    const maxBytes = Math.max(minBytes, share);
    return node.logSize > factor * maxEntries ||
      node.logBytes > factor * maxBytes;
  }

  async #compact(
    { node, store, applied, save }: CompactedReplica<C, S>,
  ): Promise<void> {
    const snapshot = node.createSnapshot(save(), applied);
    if (snapshot === undefined) return;
    await store.prepare(snapshot);
    this.#options.step((current) => {
      if (current !== node) return;
      const { logSize: entries, logBytes: bytes } = node;
      node.compact(snapshot);
      this.onSnapshot(snapshot);
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
