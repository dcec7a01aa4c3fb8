/** Progress of items between their runs. */
import type { BatchRecord } from "./batch_record.ts";
import type { WaitingItem } from "./batch_record.ts";
import { identityOf } from "./item_identity.ts";
import { type PartialText, RunText } from "./run_text.ts";

/** Progress of one item. */
export interface ItemProgress {
  /** Partial output of the last run. */
  partialText: PartialText | undefined;
  /** Service that wrote the partial output. */
  service: string | undefined;
  /** Runs that the target itself failed, up to the batch's `maxAttempts`. */
  failedRuns: number;
  /** Runs that ended early for another reason; they determine the backoff. */
  interruptedRuns: number;
  /**
   * Runs moved because they were silent; later runs may be silent for longer.
   */
  silentRuns: number;
  /** Whether a run was moved because its target's pace was unknown. */
  isPaceCorrected: boolean;
  /** Runs that no target of the partial output's version would continue. */
  unverifiedRuns: number;
  /** Whether a run wrote more than the item can have; then none is resumed. */
  isOverlong: boolean;
  /** Time before which the item is not run again, in milliseconds. */
  notBefore: number;
  /**
   * Time since which only the partial output prevents the item from running.
   */
  strandedAt: number | undefined;
  /** Time since which the item waits although slots are free. */
  heldAt: number | undefined;
  /** Targets that run the item again only if no other target is eligible. */
  readonly excludedTargets: Set<string>;
}

/** Output of an item from its earlier runs. */
export interface KnownOutput {
  /** The complete output, if there is one. */
  readonly complete: RunText | undefined;
  /** Partial outputs that a run may continue, the longest first. */
  readonly partial: readonly RunText[];
  /** Number of events of the longest output, also if no run may continue it. */
  readonly receivedEvents: number;
}

const FIRST_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 2_000;
/** Number of items from which those of deleted batches are pruned. */
const PRUNE_THRESHOLD_ITEMS = 20_000;
/** Unverified runs after which an item restarts from its first event. */
const MAX_UNVERIFIED_RUNS = 2;
const NO_TARGETS: ReadonlySet<string> = new Set();

/**
 * Tracks the progress of items and the batch that first contained each, by
 * {@link identityOf}.
 */
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
  progressOf(waiting: WaitingItem): ItemProgress {
    const identity = keyOf(waiting);
    let progress = this.#progress.get(identity);
    if (progress !== undefined) return progress;
    progress = {
      partialText: undefined,
      service: undefined,
      failedRuns: 0,
      interruptedRuns: 0,
      silentRuns: 0,
      isPaceCorrected: false,
      unverifiedRuns: 0,
      isOverlong: false,
      notBefore: -Infinity,
      strandedAt: undefined,
      heldAt: undefined,
      excludedTargets: new Set(),
    };
    this.#progress.set(identity, progress);
    return progress;
  }

  /** Gets the targets to avoid for an item while others are eligible. */
  excludedTargetsOf(waiting: WaitingItem): ReadonlySet<string> {
    return this.#progress.get(keyOf(waiting))?.excludedTargets ?? NO_TARGETS;
  }

  /** Gets whether an item is in backoff after a run that ended early. */
  isBackingOff(waiting: WaitingItem, now: number): boolean {
    return now < (this.#progress.get(keyOf(waiting))?.notBefore ?? -Infinity);
  }

  /** Saves the output of a run, so that a later run can continue it. */
  savePartialText(waiting: WaitingItem, text: RunText): this {
    if (text.size === 0) return this;
    const progress = this.progressOf(waiting);
    progress.partialText = text.partialText;
    progress.service = waiting.record.spec.service;
    return this;
  }

  /** Delays the next run of an item, with exponential backoff. */
  backOff(waiting: WaitingItem, now: number): this {
    const progress = this.progressOf(waiting);
    const backoffMs = FIRST_BACKOFF_MS *
      2 ** Math.min(progress.interruptedRuns, 8);
    progress.interruptedRuns += 1;
    progress.notBefore = now + Math.min(MAX_BACKOFF_MS, backoffMs);
    return this;
  }

  /**
   * Records that only its partial output prevents an item from running.
   * @returns The time since that was first the case, in milliseconds.
   */
  trackStranded(waiting: WaitingItem, now: number): number {
    const progress = this.progressOf(waiting);
    progress.strandedAt ??= now;
    return now - progress.strandedAt;
  }

  /** Records that an item waits although slots are free. */
  onHeld(waiting: WaitingItem, now: number): this {
    this.progressOf(waiting).heldAt ??= now;
    return this;
  }

  /** Gets how long an item has waited although slots are free. */
  heldMs(waiting: WaitingItem, now: number): number {
    return now - (this.#progress.get(keyOf(waiting))?.heldAt ?? now);
  }

  /** Records that an item runs, whether it continues or restarts. */
  onRunStarted(waiting: WaitingItem, isResumed: boolean): this {
    const known = this.#progress.get(keyOf(waiting));
    if (known === undefined) return this;
    known.strandedAt = undefined;
    known.heldAt = undefined;
    if (!isResumed) known.unverifiedRuns = 0;
    return this;
  }

  /**
   * Gets the output of an item's earlier runs, as far as the batch allows the
   * weight versions that generated it. A text whose writer is not known is not
   * continued.
   */
  outputOf(
    waiting: WaitingItem,
    records: readonly BatchRecord[],
  ): KnownOutput {
    const texts = this.#textsOf(waiting, records)
      .filter((text) => fitsBatch(text, waiting.record));
    const complete = texts.find(({ isComplete }) => isComplete);
    const known = texts.filter(({ software }) => software !== undefined)
      .sort((a, b) => b.lastId - a.lastId);
    const progress = this.#progress.get(keyOf(waiting));
    const isResumable = progress?.isOverlong !== true &&
      (progress?.unverifiedRuns ?? 0) < MAX_UNVERIFIED_RUNS;
    return {
      complete: complete && new RunText(complete),
      partial: isResumable ? known.map((text) => new RunText(text)) : [],
      receivedEvents: Math.max(0, ...texts.map(({ lastId }) => lastId)),
    };
  }

  /** Gets the texts that targets of the batch's service wrote for an item. */
  #textsOf(
    waiting: WaitingItem,
    records: readonly BatchRecord[],
  ): PartialText[] {
    const { service } = waiting.record.spec;
    const progress = this.#progress.get(keyOf(waiting));
    const own = progress?.service === service
      ? progress.partialText
      : undefined;
    const texts = own === undefined ? [] : [own];
    for (const other of records) {
      if (other.spec.service !== service) continue;
      const text = other.getPartialText(waiting.item.id);
      if (text !== undefined && isSameItem(waiting, other)) texts.push(text);
    }
    return texts;
  }

  /** Indexes the batch that first contained each item. */
  indexFirstBatches(records: readonly BatchRecord[]): this {
    for (let i = this.#indexedBatches; i < records.length; i += 1) {
      const { spec } = records[i];
      for (const item of spec.items) {
        const identity = identityOf(spec, item);
        if (this.#firstBatch.has(identity)) continue;
        this.#firstBatch.set(identity, spec.id);
      }
    }
    this.#indexedBatches = records.length;
    return this;
  }

  /** Gets whether an earlier batch contained the item. */
  isResubmitted(waiting: WaitingItem): boolean {
    return this.#firstBatch.get(keyOf(waiting)) !== waiting.record.spec.id;
  }

  /** Removes the items of deleted batches once many items are tracked. */
  forget(records: readonly BatchRecord[]): this {
    if (this.#firstBatch.size < PRUNE_THRESHOLD_ITEMS) return this;
    const live = new Set<string>();
    for (const { spec } of records) {
      for (const item of spec.items) live.add(identityOf(spec, item));
    }
    for (const id of this.#progress.keys()) {
      if (!live.has(id)) this.#progress.delete(id);
    }
    this.#firstBatch.clear();
    this.#indexedBatches = 0;
    return this;
  }
}

function keyOf({ record, item }: WaitingItem): string {
  return identityOf(record.spec, item);
}

/** Gets whether another batch has the same item, not only its identifier. */
export function isSameItem(waiting: WaitingItem, other: BatchRecord): boolean {
  const item = other.getItem(waiting.item.id);
  return item !== undefined &&
    identityOf(other.spec, item) === keyOf(waiting);
}

function fitsBatch({ versions }: PartialText, { spec }: BatchRecord): boolean {
  const isFresh = versions.every((version) => version >= spec.minVersion);
  return isFresh && (!spec.isSingleVersion || versions.length <= 1);
}
