/** Progress of items between their runs. */
import type { BatchItem } from "./batch.ts";
import type { BatchRecord } from "./batch_record.ts";
import { type PartialText, RunText } from "./run_text.ts";

/** Progress of one item. */
export interface ItemProgress {
  /** Partial output of the last run. */
  partialText: PartialText | undefined;
  /** Runs that the target itself failed, up to the batch's `maxAttempts`. */
  failedRuns: number;
  /** Runs that ended early for another reason; they determine the backoff. */
  interruptedRuns: number;
  /** Runs moved for their silence; later runs are allowed more of it. */
  silentRuns: number;
  /** Time before which the item is not run again, in milliseconds. */
  notBefore: number;
  /** Time since which no target can go on with the partial output. */
  strandedAt: number | undefined;
  /** Targets that run the item again only if no other target is eligible. */
  readonly excludedTargets: Set<string>;
}

const FIRST_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 2_000;
/** Number of items from which those of deleted batches are pruned. */
const PRUNE_THRESHOLD_ITEMS = 20_000;
const NO_TARGETS: ReadonlySet<string> = new Set();

/** Tracks the progress of items and the batch that first contained each. */
export class ItemTracker {
  readonly #progress = new Map<string, ItemProgress>();
  readonly #firstBatch = new Map<string, string>();
  #indexedBatches = 0;

  /** Clears all progress and the index of batches. */
  clear(): this {
    this.#progress.clear();
    this.#firstBatch.clear();
    this.#indexedBatches = 0;
    return this;
  }

  /** Gets the mutable progress of an item; creates it if necessary. */
  progressOf(item: BatchItem): ItemProgress {
    let progress = this.#progress.get(item.id);
    if (progress !== undefined) return progress;
    progress = {
      partialText: undefined,
      failedRuns: 0,
      interruptedRuns: 0,
      silentRuns: 0,
      notBefore: -Infinity,
      strandedAt: undefined,
      excludedTargets: new Set(),
    };
    this.#progress.set(item.id, progress);
    return progress;
  }

  /** Gets the targets to avoid for an item while others are eligible. */
  excludedTargetsOf(item: BatchItem): ReadonlySet<string> {
    return this.#progress.get(item.id)?.excludedTargets ?? NO_TARGETS;
  }

  /** Gets whether an item is in backoff after a run that ended early. */
  isBackingOff(item: BatchItem, now: number): boolean {
    return now < (this.#progress.get(item.id)?.notBefore ?? -Infinity);
  }

  /** Saves the output of a run, so that a later run can resume from it. */
  savePartialText(item: BatchItem, text: RunText): this {
    if (text.size > 0) this.progressOf(item).partialText = text.partialText;
    return this;
  }

  /** Delays the next run of an item, with exponential backoff. */
  backOff(item: BatchItem, now: number): this {
    const progress = this.progressOf(item);
    const backoffMs = FIRST_BACKOFF_MS *
      2 ** Math.min(progress.interruptedRuns, 8);
    progress.interruptedRuns += 1;
    progress.notBefore = now + Math.min(MAX_BACKOFF_MS, backoffMs);
    return this;
  }

  /**
   * Records whether any target can go on with an item's partial output.
   * @returns The time for which none can, in milliseconds; 0 if one can.
   */
  trackStranded(item: BatchItem, isStranded: boolean, now: number): number {
    const known = this.#progress.get(item.id);
    if (!isStranded) {
      if (known !== undefined) known.strandedAt = undefined;
      return 0;
    }
    const progress = known ?? this.progressOf(item);
    progress.strandedAt ??= now;
    return now - progress.strandedAt;
  }

  /**
   * Gets the complete output of an item, or the longest that a run of it can
   * resume from: the batch must allow the weight versions that generated it.
   */
  resumableTextOf(
    record: BatchRecord,
    item: BatchItem,
    records: readonly BatchRecord[],
  ): RunText {
    let best: PartialText | undefined;
    const candidates = [
      this.#progress.get(item.id)?.partialText,
      ...records.map((other) => other.getPartialText(item.id)),
    ];
    for (const partial of candidates) {
      if (partial === undefined || !fitsBatch(partial, record)) continue;
      if (partial.isComplete) return new RunText(partial);
      if (partial.lastId > (best?.lastId ?? 0)) best = partial;
    }
    return new RunText(best);
  }

  /** Indexes the batch that first contained each item. */
  indexFirstBatches(records: readonly BatchRecord[]): this {
    for (let i = this.#indexedBatches; i < records.length; i += 1) {
      const { spec } = records[i];
      for (const { id } of spec.items) {
        if (!this.#firstBatch.has(id)) this.#firstBatch.set(id, spec.id);
      }
    }
    this.#indexedBatches = records.length;
    return this;
  }

  /** Gets whether an earlier batch contained the item. */
  isResubmitted(record: BatchRecord, item: BatchItem): boolean {
    return this.#firstBatch.get(item.id) !== record.spec.id;
  }

  /** Removes the items of deleted batches once many items are tracked. */
  forget(records: readonly BatchRecord[]): this {
    if (this.#firstBatch.size < PRUNE_THRESHOLD_ITEMS) return this;
    const live = new Set<string>();
    for (const record of records) {
      for (const item of record.spec.items) live.add(item.id);
    }
    for (const id of this.#progress.keys()) {
      if (!live.has(id)) this.#progress.delete(id);
    }
    this.#firstBatch.clear();
    this.#indexedBatches = 0;
    return this;
  }
}

function fitsBatch({ versions }: PartialText, { spec }: BatchRecord): boolean {
  const isFresh = versions.every((version) => version >= spec.minVersion);
  return isFresh && (!spec.isSingleVersion || versions.length <= 1);
}
