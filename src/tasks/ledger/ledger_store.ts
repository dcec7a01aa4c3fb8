/** The ledger's part of the data folder. */
import { randomBytes } from "node:crypto";
import { rename } from "node:fs/promises";
import { join } from "node:path";
import type {
  LedgerEffect,
  LedgerEntry,
  StoredLedger,
} from "../../core/ledger/mod.ts";
import { DamagedFileError, FrameStore } from "../storage/mod.ts";

type WriteEffect = Extract<LedgerEffect, { type: "write" }>;

type LedgerFrame =
  | { readonly type: "identity"; readonly incarnation: string }
  | { readonly type: "whole"; readonly stored: StoredLedger }
  | {
    readonly type: "write";
    readonly epoch: number;
    readonly view: number;
    readonly truncateAfter?: number;
    readonly entries: readonly LedgerEntry[];
  };

const FOLDER = "ledger";
const INCARNATION_BYTES = 4;
/** Length of the file after which it is written anew. */
const REWRITE_BYTES = 67_108_864;

/** Options of {@link LedgerStore.open}. */
export interface LedgerStoreOptions {
  /** Data folder of the instance. */
  readonly dataFolder: string;
  /** Hears that a damaged store has been set aside. */
  readonly onDamaged?: (detail: string) => void;
}

/** Stores one replica of the ledger. */
export class LedgerStore {
  readonly #frames: FrameStore<LedgerFrame>;
  /** Incarnation of the disk. */
  readonly incarnation: string;
  /** What was found when the store was opened. */
  readonly stored: StoredLedger;

  private constructor(
    frames: FrameStore<LedgerFrame>,
    options: { incarnation: string; stored: StoredLedger },
  ) {
    this.#frames = frames;
    this.incarnation = options.incarnation;
    this.stored = options.stored;
  }

  /** Opens the store; a damaged one is set aside for a new one. */
  static async open(options: LedgerStoreOptions): Promise<LedgerStore> {
    const folder = join(options.dataFolder, FOLDER);
    try {
      return await LedgerStore.#openFolder(folder);
    } catch (err) {
      if (!(err instanceof DamagedFileError)) throw err;
      await rename(folder, `${folder}.damaged-${Date.now()}`);
      options.onDamaged?.(err.message);
      return await LedgerStore.#openFolder(folder);
    }
  }

  /** Stores writes, in order; returns once they are synced. */
  async write(
    writes: readonly WriteEffect[],
    getWhole: () => StoredLedger,
  ): Promise<void> {
    const isReplaced = writes.some((write) => write.snapshot !== undefined);
    if (isReplaced || this.#frames.length > REWRITE_BYTES) {
      await this.#frames.replace([
        { type: "identity", incarnation: this.incarnation },
        { type: "whole", stored: getWhole() },
      ]);
      return;
    }
    await this.#frames.append(writes.map((write) => ({
      type: "write",
      epoch: write.epoch,
      view: write.view,
      truncateAfter: write.truncateAfter,
      entries: write.entries,
    })));
  }

  /** Closes the file. */
  async close(): Promise<void> {
    await this.#frames.close();
  }

  static async #openFolder(folder: string): Promise<LedgerStore> {
    const frames = await FrameStore.open<LedgerFrame>(folder);
    let incarnation: string | undefined;
    let stored: StoredLedger = {
      epoch: 0,
      view: 0,
      base: { index: 0, view: 0 },
      entries: [],
    };
    for (const frame of frames.frames) {
      if (frame.type === "identity") incarnation = frame.incarnation;
      else stored = frame.type === "whole" ? frame.stored : fold(stored, frame);
    }
    if (incarnation === undefined) {
      incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
      await frames.append([{ type: "identity", incarnation }]);
    }
    return new LedgerStore(frames, { incarnation, stored });
  }
}

function fold(
  stored: StoredLedger,
  frame: Extract<LedgerFrame, { type: "write" }>,
): StoredLedger {
  const after = Math.min(
    frame.truncateAfter ?? Infinity,
    (frame.entries[0]?.index ?? Infinity) - 1,
  );
  const kept = after === Infinity
    ? stored.entries
    : stored.entries.filter((entry) => entry.index <= after);
  const added = frame.entries.filter((e) => e.index > stored.base.index);
  return {
    ...stored,
    epoch: frame.epoch,
    view: frame.view,
    entries: [...kept, ...added],
  };
}
