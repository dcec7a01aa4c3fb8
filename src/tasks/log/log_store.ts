/** A replicated log's part of the data folder. */
import { randomBytes } from "node:crypto";
import { rename } from "node:fs/promises";
import { join } from "node:path";
import {
  type ConsensusEffect,
  formatReplicaId,
  type Members,
  type StoredLog,
} from "../../core/consensus/mod.ts";
import { DamagedFileError, FrameStore } from "../storage/mod.ts";

type WriteEffect<C, S> = Extract<ConsensusEffect<C, S>, { type: "write" }>;

/** A change of the log, as a frame of the file. */
interface WriteFrame<C, S> {
  readonly type: "write";
  readonly hardState?: WriteEffect<C, S>["hardState"];
  readonly truncateFrom?: number;
  readonly entries?: WriteEffect<C, S>["entries"];
  readonly snapshot?: WriteEffect<C, S>["snapshot"];
}

type LogFrame<C, S> =
  | { readonly type: "identity"; readonly incarnation: string }
  | WriteFrame<C, S>;

const INCARNATION_BYTES = 4;
const NOBODY: Members = { voters: [], learners: [] };

/** Options of {@link LogStore.open}. */
export interface LogStoreOptions<S> {
  /** Data folder of the instance. */
  readonly dataFolder: string;
  /** Name of the log, which is also the name of its folder. */
  readonly name: string;
  /** State of the application before the first entry. */
  readonly emptyState: S;
  /** Hears that a damaged store has been set aside. */
  readonly onDamaged?: (detail: string) => void;
}

/** Options of {@link LogStore.init}. */
export interface LogInitOptions<S> extends LogStoreOptions<S> {
  /** Instances of the first members. */
  readonly instances: readonly string[];
}

/** Stores one replica of a replicated log. */
export class LogStore<C, S> {
  readonly #frames: FrameStore<LogFrame<C, S>>;
  readonly #incarnation: string;
  /** What was found when the store was opened. */
  readonly stored: StoredLog<C, S>;

  private constructor(
    frames: FrameStore<LogFrame<C, S>>,
    options: { incarnation: string; stored: StoredLog<C, S> },
  ) {
    this.#frames = frames;
    this.#incarnation = options.incarnation;
    this.stored = options.stored;
  }

  /** Gets the incarnation of the disk. */
  get incarnation(): string {
    return this.#incarnation;
  }

  /** Gets the length of the file, in bytes. */
  get length(): number {
    return this.#frames.length;
  }

  /**
   * Opens the store; an empty folder is a new replica without members.
   *
   * A damaged store is set aside, and a new replica takes its place.
   */
  static async open<C, S>(
    options: LogStoreOptions<S>,
  ): Promise<LogStore<C, S>> {
    const folder = join(options.dataFolder, options.name);
    try {
      return await LogStore.#openFolder(folder, options.emptyState);
    } catch (err) {
      if (!(err instanceof DamagedFileError)) throw err;
      await rename(folder, `${folder}.damaged-${Date.now()}`);
      options.onDamaged?.(err.message);
      return await LogStore.#openFolder(folder, options.emptyState);
    }
  }

  /**
   * Creates the store of one of the first members.
   * @param instances - Instances of the control log.
   * @returns Whether it was created; a store that exists stays as it is.
   */
  static async init<C, S>(options: LogInitOptions<S>): Promise<boolean> {
    const frames = await FrameStore.open<LogFrame<C, S>>(
      join(options.dataFolder, options.name),
    );
    try {
      if (frames.frames.length > 0) return false;
      const incarnation = "first";
      const voters = options.instances
        .map((id) => formatReplicaId(id, incarnation));
      const snapshot = emptyStored(
        { voters, learners: [] },
        options.emptyState,
      ).snapshot;
      await frames.append([
        { type: "identity", incarnation },
        { type: "write", snapshot },
      ]);
      return true;
    } finally {
      await frames.close();
    }
  }

  /** Stores writes, in order; returns once they are synced. */
  async write(
    writes: readonly WriteEffect<C, S>[],
    getWhole: () => StoredLog<C, S>,
  ): Promise<void> {
    if (writes.some((write) => write.snapshot !== undefined)) {
      await this.#replace(getWhole());
      return;
    }
    await this.#frames.append(writes.map((write) => ({
      type: "write",
      hardState: write.hardState,
      truncateFrom: write.truncateFrom,
      entries: write.entries,
    })));
  }

  /** Closes the file. */
  async close(): Promise<void> {
    await this.#frames.close();
  }

  async #replace(whole: StoredLog<C, S>): Promise<void> {
    const { hardState, snapshot, entries } = whole;
    await this.#frames.replace([
      { type: "identity", incarnation: this.#incarnation },
      { type: "write", hardState, snapshot, entries },
    ]);
  }

  static async #openFolder<C, S>(
    folder: string,
    emptyState: S,
  ): Promise<LogStore<C, S>> {
    const frames = await FrameStore.open<LogFrame<C, S>>(folder);
    let incarnation: string | undefined;
    let stored = emptyStored<C, S>(NOBODY, emptyState);
    for (const frame of frames.frames) {
      if (frame.type === "identity") incarnation = frame.incarnation;
      else stored = fold(stored, frame);
    }
    if (incarnation === undefined) {
      incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
      await frames.append([{ type: "identity", incarnation }]);
    }
    return new LogStore(frames, { incarnation, stored });
  }
}

function emptyStored<C, S>(members: Members, state: S): StoredLog<C, S> {
  return {
    hardState: { term: 0, votedFor: undefined },
    snapshot: {
      index: 0,
      term: 0,
      members,
      state,
    },
    entries: [],
  };
}

function fold<C, S>(
  stored: StoredLog<C, S>,
  frame: WriteFrame<C, S>,
): StoredLog<C, S> {
  const snapshot = frame.snapshot ?? stored.snapshot;
  const added = frame.entries ?? [];
  const from = Math.min(
    frame.truncateFrom ?? Infinity,
    added[0]?.index ?? Infinity,
  );
  const entries = [...stored.entries.filter((e) => e.index < from), ...added]
    .filter((entry) => entry.index > snapshot.index);
  return { hardState: frame.hardState ?? stored.hardState, snapshot, entries };
}
