/** Storage of one replica of the ledger, in a folder of its own. */
import { randomBytes } from "node:crypto";
import { join } from "node:path";
import type {
  LedgerEffect,
  LedgerEntry,
  StoredLedger,
} from "../../core/ledger/mod.ts";
import { FrameStore, openOrReplace } from "../storage/mod.ts";

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
/** Length of the file above which it is rewritten, in bytes. */
const REWRITE_BYTES = 67_108_864;

/** Options of {@link LedgerStore.open}. */
export interface LedgerStoreOptions {
  /** Data folder of the instance. */
  readonly dataFolder: string;
  /** Called when a damaged store has been renamed and replaced. */
  readonly onDamaged?: (detail: string) => void;
}

/** Stores the entries and the view of one replica of the ledger. */
export class LedgerStore {
  readonly #frames: FrameStore<LedgerFrame>;
  /** Incarnation of the store; a store that was lost gets a new one. */
  readonly incarnation: string;
  /** Contents of the store when it was opened. */
  readonly stored: StoredLedger;

  private constructor(
    frames: FrameStore<LedgerFrame>,
    options: { incarnation: string; stored: StoredLedger },
  ) {
    this.#frames = frames;
    this.incarnation = options.incarnation;
    this.stored = options.stored;
  }

  /** Opens the store; a damaged one is renamed and replaced by an empty one. */
  static async open(options: LedgerStoreOptions): Promise<LedgerStore> {
    const folder = join(options.dataFolder, FOLDER);
    return await openOrReplace({
      folder,
      open: () => LedgerStore.#openFolder(folder),
      onDamaged: options.onDamaged,
    });
  }

  /**
   * Stores writes in order; resolves once they are synced. A write with a
   * snapshot, or a file above {@link REWRITE_BYTES}, replaces the whole file.
   * @param getStored - Gets the ledger after the writes.
   */
  async write(
    writes: readonly WriteEffect[],
    getStored: () => StoredLedger,
  ): Promise<void> {
    const hasSnapshot = writes.some((write) => write.snapshot !== undefined);
    if (hasSnapshot || this.#frames.length > REWRITE_BYTES) {
      await this.#frames.replace([
        { type: "identity", incarnation: this.incarnation },
        { type: "whole", stored: getStored() },
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

  async close(): Promise<void> {
    await this.#frames.close();
  }

  static async #openFolder(folder: string): Promise<LedgerStore> {
    const { store, frames } = await FrameStore.open<LedgerFrame>(folder);
    let incarnation: string | undefined;
    let stored: StoredLedger = {
      epoch: 0,
      view: 0,
      base: { index: 0, view: 0 },
      entries: [],
    };
    for (const frame of frames) {
      if (frame.type === "identity") {
        incarnation = frame.incarnation;
      } else {
        stored = frame.type === "whole"
          ? frame.stored
          : applyFrame(stored, frame);
      }
    }
    if (incarnation === undefined) {
      incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
      await store.append([{ type: "identity", incarnation }]);
    }
    return new LedgerStore(store, { incarnation, stored });
  }
}

function applyFrame(
  stored: StoredLedger,
  frame: Extract<LedgerFrame, { type: "write" }>,
): StoredLedger {
  const keepThrough = Math.min(
    frame.truncateAfter ?? Infinity,
    (frame.entries[0]?.index ?? Infinity) - 1,
  );
  const retained = keepThrough === Infinity
    ? stored.entries
    : stored.entries.filter((entry) => entry.index <= keepThrough);
  const added = frame.entries.filter((e) => e.index > stored.base.index);
  return {
    ...stored,
    epoch: frame.epoch,
    view: frame.view,
    entries: [...retained, ...added],
  };
}
