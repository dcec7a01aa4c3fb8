/** Storage of one replica of a replicated log, in a folder of its own. */
import { randomBytes } from "node:crypto";
import { join } from "node:path";
import {
  type ConsensusEffect,
  formatReplicaId,
  type LogSnapshot,
  type Members,
  type StoredLog,
} from "../../core/consensus/mod.ts";
import {
  closeOnError,
  DamagedFileError,
  FrameStore,
  type OpenedFrames,
  openOrReplace,
  type PreparedFile,
  type TextForms,
} from "../storage/mod.ts";
import { LogReplay, type LogWrite } from "./log_replay.ts";
import type { StateFiles, StateFilesOpener } from "./state_files.ts";

type WriteEffect<C, S> = Extract<ConsensusEffect<C, S>, { type: "write" }>;

type LogFrame<C, S> =
  | { readonly type: "identity"; readonly incarnation: string }
  | ({ readonly type: "write" } & LogWrite<C, S>);

const INCARNATION_BYTES = 4;
const NO_MEMBERS: Members = { voters: [], learners: [] };

/** Options of {@link LogStore.open}. */
export interface LogStoreOptions<S> {
  /** Data folder of the instance. */
  readonly dataFolder: string;
  /** Name of the log, which is also the name of its folder. */
  readonly name: string;
  /** Snapshot of the state machine before the first entry. */
  readonly emptyState: S;
  /** Forms of texts in what is read; by default, strings. */
  readonly forms?: TextForms | undefined;
  /** Opens files for parts of the state; by default, snapshots hold all of it. */
  readonly openFiles?: StateFilesOpener<S> | undefined;
  /** Called when a damaged store has been renamed and replaced. */
  readonly onDamaged?: (detail: string) => void;
}

/** Options of {@link LogStore.create}. */
export interface LogInitOptions<S> extends LogStoreOptions<S> {
  /** Instances of the initial voters. */
  readonly instances: readonly string[];
}

/** A file with a snapshot that is not in force yet. */
interface PreparedSnapshot {
  readonly index: number;
  readonly file: PreparedFile;
}

/** Stores the entries, the hard state and the snapshot of one replica. */
export class LogStore<C, S> {
  readonly #frames: FrameStore<LogFrame<C, S>>;
  readonly #incarnation: string;
  readonly #files: StateFiles<S> | undefined;
  /** Contents of the file when it was opened, until they are taken. */
  #stored: StoredLog<C, S> | undefined;
  #prepared: PreparedSnapshot | undefined;
  #isClosed = false;

  private constructor(
    frames: FrameStore<LogFrame<C, S>>,
    options: {
      readonly incarnation: string;
      readonly stored: StoredLog<C, S>;
      readonly files: StateFiles<S> | undefined;
    },
  ) {
    this.#frames = frames;
    this.#incarnation = options.incarnation;
    this.#stored = options.stored;
    this.#files = options.files;
  }

  /**
   * Gets the incarnation of the store. A store that was lost gets a new one,
   * and so its replica counts as a new one.
   */
  get incarnation(): string {
    return this.#incarnation;
  }

  /** Gets the files for parts of the state; undefined if there are none. */
  get files(): StateFiles<S> | undefined {
    return this.#files;
  }

  /** Gets the length of the file, in bytes. */
  get length(): number {
    return this.#frames.length;
  }

  /**
   * Gets what was stored when the store was opened, and releases it.
   * @throws Error if it has been taken before.
   */
  takeStored(): StoredLog<C, S> {
    const stored = this.#stored;
    if (stored === undefined) throw new Error("The log was taken before");
    this.#stored = undefined;
    return stored;
  }

  /**
   * Opens the store; an empty folder becomes a new replica without members.
   *
   * The folder of a damaged store is renamed to `*.damaged-TIME`, and a new
   * replica takes its place.
   */
  static async open<C, S>(
    options: LogStoreOptions<S>,
  ): Promise<LogStore<C, S>> {
    const folder = join(options.dataFolder, options.name);
    return await openOrReplace<LogStore<C, S>>({
      folder,
      open: () => LogStore.#openFolder(folder, options),
      onDamaged: options.onDamaged,
    });
  }

  /**
   * Creates the store of an initial voter.
   * @returns Whether it was created; an existing store is left unchanged, also
   * a damaged one.
   */
  static async create<C, S>(options: LogInitOptions<S>): Promise<boolean> {
    const opened = await openUndamaged<LogFrame<C, S>>(
      join(options.dataFolder, options.name),
    );
    if (opened === undefined) return false;
    const { store, frames } = opened;
    try {
      if (frames.length > 0) return false;
      const incarnation = "first";
      const voters = options.instances
        .map((id) => formatReplicaId(id, incarnation));
      const snapshot = createEmptyLog(
        { voters, learners: [] },
        options.emptyState,
      ).snapshot;
      await store.append([
        { type: "identity", incarnation },
        { type: "write", snapshot },
      ]);
      return true;
    } finally {
      await store.close();
    }
  }

  /**
   * Stores writes in order; resolves once they are synced. A write with a
   * snapshot replaces the whole file.
   * @param getStored - Gets the log after the writes.
   */
  async write(
    writes: readonly WriteEffect<C, S>[],
    getStored: () => StoredLog<C, S>,
  ): Promise<void> {
    if (writes.some((write) => write.snapshot !== undefined)) {
      await this.#replace(getStored());
      return;
    }
    await this.#frames.append(writes.map((write) => ({
      type: "write",
      hardState: write.hardState,
      truncateFrom: write.truncateFrom,
      entries: write.entries,
    })));
  }

  /**
   * Writes a snapshot to a file that a later write with that snapshot puts in
   * force. Other writes may go on meanwhile.
   * @returns Size of the snapshot, in bytes.
   */
  async prepare(snapshot: LogSnapshot<S>): Promise<number> {
    await this.#discardPrepared();
    await this.#files?.sync();
    const file = await this.#frames.prepare([
      { type: "identity", incarnation: this.#incarnation },
      { type: "write", snapshot },
    ]);
    this.#prepared = { index: snapshot.index, file };
    if (this.#isClosed) await this.#discardPrepared();
    return file.length;
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    await this.#discardPrepared();
    await this.#files?.close();
    await this.#frames.close();
  }

  /** Replaces the whole file, once the files that it names are durable. */
  async #replace(stored: StoredLog<C, S>): Promise<void> {
    await this.#files?.sync();
    await this.#replaceFrames(stored);
    await this.#files?.onStored(stored.snapshot.state);
  }

  async #replaceFrames(
    { hardState, snapshot, entries }: StoredLog<C, S>,
  ): Promise<void> {
    const prepared = this.#prepared;
    if (prepared?.index === snapshot.index) {
      this.#prepared = undefined;
      const write = { type: "write", hardState, entries } as const;
      await this.#frames.commit(prepared.file, [write]);
      return;
    }
    await this.#frames.replace([
      { type: "identity", incarnation: this.#incarnation },
      { type: "write", hardState, snapshot, entries },
    ]);
  }

  async #discardPrepared(): Promise<void> {
    const prepared = this.#prepared;
    this.#prepared = undefined;
    if (prepared !== undefined) await this.#frames.discard(prepared.file);
  }

  static async #openFolder<C, S>(
    folder: string,
    { emptyState, forms, openFiles }: LogStoreOptions<S>,
  ): Promise<LogStore<C, S>> {
    let incarnation: string | undefined;
    const replay = new LogReplay(createEmptyLog<C, S>(NO_MEMBERS, emptyState));
    const { store } = await FrameStore.open<LogFrame<C, S>>(folder, {
      forms,
      onFrame: (frame) => {
        if (frame.type === "identity") incarnation = frame.incarnation;
        else replay.add(frame);
      },
    });
    if (incarnation === undefined) {
      incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
      const identity = { type: "identity", incarnation } as const;
      await closeOnError(store, () => store.append([identity]));
    }
    const { stored } = replay;
    const files = await closeOnError(
      store,
      async () => await openFiles?.(folder, stored.snapshot.state),
    );
    return new LogStore(store, { incarnation, stored, files });
  }
}

/** Opens frames; undefined if their file is damaged. */
async function openUndamaged<F>(
  folder: string,
): Promise<OpenedFrames<F> | undefined> {
  try {
    return await FrameStore.open<F>(folder);
  } catch (err) {
    if (err instanceof DamagedFileError) return undefined;
    throw err;
  }
}

function createEmptyLog<C, S>(members: Members, state: S): StoredLog<C, S> {
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
