/** Parts of snapshots between the files of replicas. */
import { setImmediate } from "node:timers/promises";
import {
  compareTransfers,
  type ConsensusMessage,
  type SnapshotDivider,
  type SnapshotPartRequest,
} from "../../core/consensus/mod.ts";
import type { StateFiles } from "./state_files.ts";

/** Options of {@link SnapshotPartFiles}. */
export interface SnapshotPartFilesOptions<S> {
  readonly divider: SnapshotDivider<S>;
  /** Called if a message is dropped, as a file could not be used. */
  readonly onFailed: (err: unknown) => void;
  /** Called if a part that is to be sent could not be read. */
  readonly onUnreadable: (message: SnapshotPartRequest) => void;
}

/**
 * Reads what a leader sends of a snapshot from its files, and writes what a
 * replica receives to its own. The order of the messages stays, and the event loop
 * comes round between them. One whose files cannot be used is lost, and the leader
 * sends it again.
 */
export class SnapshotPartFiles<C, S> {
  readonly #options: SnapshotPartFilesOptions<S>;
  #sending: Promise<void> = Promise.resolve();
  #receiving: Promise<void> = Promise.resolve();
  /** Last message whose parts were moved to files. */
  #received: SnapshotPartRequest | undefined;

  constructor(options: SnapshotPartFilesOptions<S>) {
    this.#options = options;
  }

  /** Sends a message with all that it names in files. */
  send(
    files: StateFiles<S>,
    message: ConsensusMessage<C, S>,
    send: (message: ConsensusMessage<C, S>) => void,
  ): void {
    if (message.type === "snapshotPartRequest") {
      this.#sending = this.#next(this.#sending, async () => {
        const parts = await this.#readParts(files, message);
        send({ ...message, parts });
        await setImmediate();
      });
    } else if (message.type === "snapshotRequest") {
      const { divider } = this.#options;
      this.#sending = this.#next(this.#sending, async () => {
        const { snapshot } = message;
        const parts = await readParts(files, divider.split(snapshot.state));
        const state = divider.join(parts);
        send({ ...message, snapshot: { ...snapshot, state } });
      });
    } else send(message);
  }

  /** Moves the parts of a message to files, and passes it on. */
  receive(
    files: StateFiles<S>,
    message: SnapshotPartRequest,
    receive: (message: SnapshotPartRequest) => void,
  ): void {
    this.#receiving = this.#next(this.#receiving, async () => {
      const isOutdated = compareTransfers(message, this.#received) < 0;
      const parts: unknown[] = [];
      for (const part of isOutdated ? [] : message.parts) {
        const isFirst = compareTransfers(message, this.#received) > 0;
        this.#received = message;
        parts.push(await files.movePart(part, isFirst));
      }
      receive({ ...message, parts });
    });
  }

  async #readParts(
    files: StateFiles<S>,
    message: SnapshotPartRequest,
  ): Promise<unknown[]> {
    try {
      return await readParts(files, message.parts);
    } catch (err) {
      this.#options.onUnreadable(message);
      throw err;
    }
  }

  /** Runs work after what precedes it. */
  #next(previous: Promise<void>, work: () => Promise<void>): Promise<void> {
    return previous
      .then(work)
      .catch((err) => this.#options.onFailed(err));
  }
}

async function readParts<S>(
  files: StateFiles<S>,
  parts: readonly unknown[],
): Promise<unknown[]> {
  const read: unknown[] = [];
  for (const part of parts) read.push(await files.readPart(part));
  return read;
}
