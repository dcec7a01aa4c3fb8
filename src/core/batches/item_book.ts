/** What is remembered of items between their runs. */
import type { BatchItem } from "./batch.ts";
import type { BatchRecord } from "./batch_record.ts";
import { type KeptText, RunText } from "./run_text.ts";

/** What is remembered of one item. */
export interface ItemProgress {
  /** Text of its last run. */
  kept: KeptText | undefined;
  /** Runs that the target itself failed. */
  failed: number;
  /** Runs that ended for another reason. */
  broken: number;
  /** Time before which it is not run again. */
  notBefore: number;
  /** Targets where it is not run again while there are others. */
  readonly excluded: Set<string>;
}

const FIRST_PAUSE_MS = 20;
const MAX_PAUSE_MS = 2_000;
/** Known items from which those of forgotten batches are dropped. */
const MAX_KNOWN_ITEMS = 20_000;
const NONE: ReadonlySet<string> = new Set();

/** Keeps the progress of items, and in which batch each came first. */
export class ItemBook {
  readonly #progress = new Map<string, ItemProgress>();
  readonly #firstBatch = new Map<string, string>();
  #noted = 0;

  /** Forgets everything. */
  clear(): this {
    this.#progress.clear();
    this.#firstBatch.clear();
    this.#noted = 0;
    return this;
  }

  /** Gets the progress of an item, to be changed. */
  of(item: BatchItem): ItemProgress {
    let progress = this.#progress.get(item.id);
    if (progress !== undefined) return progress;
    progress = {
      kept: undefined,
      failed: 0,
      broken: 0,
      notBefore: -Infinity,
      excluded: new Set(),
    };
    this.#progress.set(item.id, progress);
    return progress;
  }

  /** Gets the targets where an item is not run while there are others. */
  excludedOf(item: BatchItem): ReadonlySet<string> {
    return this.#progress.get(item.id)?.excluded ?? NONE;
  }

  /** Gets whether an item is to wait after a run that ended early. */
  isPaused(item: BatchItem, now: number): boolean {
    return now < (this.#progress.get(item.id)?.notBefore ?? -Infinity);
  }

  /** Keeps the text of a run, for the item may come again. */
  keep(item: BatchItem, text: RunText): this {
    if (text.size > 0) this.of(item).kept = text.kept;
    return this;
  }

  /** Lets an item wait, longer each time. */
  pause(item: BatchItem, now: number): this {
    const progress = this.of(item);
    const pauseMs = FIRST_PAUSE_MS * 2 ** Math.min(progress.broken, 8);
    progress.broken += 1;
    progress.notBefore = now + Math.min(MAX_PAUSE_MS, pauseMs);
    return this;
  }

  /** Gets the longest text of an item whose versions all fit its batch. */
  textOf(
    record: BatchRecord,
    item: BatchItem,
    records: readonly BatchRecord[],
  ): RunText {
    let best: KeptText | undefined;
    const candidates = [
      this.#progress.get(item.id)?.kept,
      ...records.map((other) => other.getKept(item.id)),
    ];
    for (const kept of candidates) {
      if (kept === undefined || !isFitting(kept, record)) continue;
      if (kept.lastId > (best?.lastId ?? 0)) best = kept;
    }
    return new RunText(best);
  }

  /** Remembers in which batch each item came first. */
  note(records: readonly BatchRecord[]): this {
    for (let i = this.#noted; i < records.length; i += 1) {
      const { spec } = records[i];
      for (const { id } of spec.items) {
        if (!this.#firstBatch.has(id)) this.#firstBatch.set(id, spec.id);
      }
    }
    this.#noted = records.length;
    return this;
  }

  /** Gets whether an item came in an earlier batch already. */
  isCarried(record: BatchRecord, item: BatchItem): boolean {
    return this.#firstBatch.get(item.id) !== record.spec.id;
  }

  /** Forgets the items of batches that are gone, once there are many. */
  forget(records: readonly BatchRecord[]): this {
    if (this.#firstBatch.size < MAX_KNOWN_ITEMS) return this;
    const live = new Set<string>();
    for (const record of records) {
      for (const item of record.spec.items) live.add(item.id);
    }
    for (const id of this.#progress.keys()) {
      if (!live.has(id)) this.#progress.delete(id);
    }
    this.#firstBatch.clear();
    this.#noted = 0;
    return this;
  }
}

function isFitting({ versions }: KeptText, { spec }: BatchRecord): boolean {
  const isFresh = versions.every((version) => version >= spec.minVersion);
  return isFresh && (!spec.isSingleVersion || versions.length <= 1);
}
