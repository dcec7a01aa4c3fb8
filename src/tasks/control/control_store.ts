/** The control log's part of the data folder. */
import { randomBytes } from "node:crypto";
import { rename } from "node:fs/promises";
import { join } from "node:path";
import {
  type ConsensusEffect,
  formatReplicaId,
  type Members,
  type StoredLog,
} from "../../core/consensus/mod.ts";
import {
  type ControlCommand,
  type ControlSnapshot,
  ControlState,
} from "../../core/control/mod.ts";
import { DamagedFileError, FrameStore } from "../storage/mod.ts";

/** Log of the control commands, as stored. */
export type StoredControl = StoredLog<ControlCommand, ControlSnapshot>;

type WriteEffect = Extract<
  ConsensusEffect<ControlCommand, ControlSnapshot>,
  { type: "write" }
>;

type ControlFrame =
  | { readonly type: "identity"; readonly incarnation: string }
  | {
    readonly type: "write";
    readonly hardState?: WriteEffect["hardState"];
    readonly truncateFrom?: number;
    readonly entries?: WriteEffect["entries"];
    readonly snapshot?: WriteEffect["snapshot"];
  };

const FOLDER = "control";
const INCARNATION_BYTES = 4;
const NOBODY: Members = { voters: [], learners: [] };

/** Options of {@link ControlStore.open}. */
export interface ControlStoreOptions {
  /** Data folder of the instance. */
  readonly dataFolder: string;
  /** Hears that a damaged store has been set aside. */
  readonly onDamaged?: (detail: string) => void;
}

/** Stores one replica of the control log. */
export class ControlStore {
  readonly #frames: FrameStore<ControlFrame>;
  readonly #incarnation: string;
  /** What was found when the store was opened. */
  readonly stored: StoredControl;

  private constructor(
    frames: FrameStore<ControlFrame>,
    options: { incarnation: string; stored: StoredControl },
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
  static async open(options: ControlStoreOptions): Promise<ControlStore> {
    const folder = join(options.dataFolder, FOLDER);
    try {
      return await ControlStore.#openFolder(folder);
    } catch (err) {
      if (!(err instanceof DamagedFileError)) throw err;
      await rename(folder, `${folder}.damaged-${Date.now()}`);
      options.onDamaged?.(err.message);
      return await ControlStore.#openFolder(folder);
    }
  }

  /**
   * Creates the store of one of the first members.
   * @param instances - Instances of the control log.
   * @returns Whether it was created; a store that exists stays as it is.
   */
  static async init(
    dataFolder: string,
    options: { id: string; instances: readonly string[] },
  ): Promise<boolean> {
    const frames = await FrameStore.open<ControlFrame>(
      join(dataFolder, FOLDER),
    );
    try {
      if (frames.frames.length > 0) return false;
      const incarnation = "first";
      const voters = options.instances
        .map((id) => formatReplicaId(id, incarnation));
      const snapshot = emptyStored({ voters, learners: [] }).snapshot;
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
    writes: readonly WriteEffect[],
    getWhole: () => StoredControl,
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

  async #replace(whole: StoredControl): Promise<void> {
    const { hardState, snapshot, entries } = whole;
    await this.#frames.replace([
      { type: "identity", incarnation: this.#incarnation },
      { type: "write", hardState, snapshot, entries },
    ]);
  }

  static async #openFolder(folder: string): Promise<ControlStore> {
    const frames = await FrameStore.open<ControlFrame>(folder);
    let incarnation: string | undefined;
    let stored = emptyStored(NOBODY);
    for (const frame of frames.frames) {
      if (frame.type === "identity") incarnation = frame.incarnation;
      else stored = fold(stored, frame);
    }
    if (incarnation === undefined) {
      incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
      await frames.append([{ type: "identity", incarnation }]);
    }
    return new ControlStore(frames, { incarnation, stored });
  }
}

function emptyStored(members: Members): StoredControl {
  return {
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

function fold(
  stored: StoredControl,
  frame: Extract<ControlFrame, { type: "write" }>,
): StoredControl {
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
