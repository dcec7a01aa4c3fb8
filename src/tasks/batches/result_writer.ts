/** Writes results and complete texts of items to the ledger. */
import {
  type BatchItem,
  type BatchRecord,
  type BatchResult,
  HeldResult,
  isSameItem,
  type PartialTextRecord,
  type ResultRecord,
  ResultState,
  type WaitingItem,
} from "../../core/batches/mod.ts";
import type { ItemRun } from "./item_run.ts";
import type { ScoredItem } from "./item_scorer.ts";
import { readFromMemory, type ReadTexts } from "./result_reader.ts";
import { itemKeyOf } from "./run_table.ts";

/** Options of {@link ResultWriter}. */
export interface ResultWriterOptions {
  /** Gets results with their texts; by default, all are in memory. */
  readonly readTexts?: ReadTexts;
  /** Writes a result to the ledger. */
  readonly storeResult: (record: ResultRecord) => void;
  /** Writes the end of a complete text, which still needs its score. */
  readonly storeCompleteText: (record: PartialTextRecord) => void;
}

/** A complete text, which may be that of an earlier batch. */
type CompleteText = Pick<BatchResult, "text" | "versions">;

/** Writes results, and knows the items whose writes are in progress. */
export class ResultWriter {
  readonly #options: ResultWriterOptions;
  readonly #pending = new Set<string>();
  /** Items whose earlier text could not be read. */
  readonly #unreadable = new Set<string>();

  constructor(options: ResultWriterOptions) {
    this.#options = options;
  }

  /** Gets whether a write of an item is in progress, by {@link itemKeyOf}. */
  isPending(key: string): boolean {
    return this.#pending.has(key);
  }

  /** Records that the write of an item has been applied or has failed. */
  onStored(batch: string, item: string): this {
    this.#pending.delete(itemKeyOf(batch, item));
    return this;
  }

  /** Forgets the writes in progress. */
  clear(): this {
    this.#pending.clear();
    this.#unreadable.clear();
    return this;
  }

  /** Abandons an item with the text that it has. */
  abandon(
    record: BatchRecord,
    { id }: BatchItem,
    { text, versions }: CompleteText = { text: "", versions: [] },
  ): void {
    const state = ResultState.Abandoned;
    this.#storeResult(record, { id, state, text, versions });
  }

  /**
   * Stores the end of a completed run: its result, or the text alone if that
   * needs a score. Events that are already stored are not written again.
   */
  complete(run: ItemRun): void {
    const { record, item, text, storedEventId } = run;
    if (item.scoring === undefined) {
      this.#storeCompleted(run);
      return;
    }
    this.#storeCompleteText(record, item, {
      after: storedEventId,
      pieces: text.piecesAfter(storedEventId),
      versions: text.versions,
    });
  }

  /** Stores the result of a scored item; without a score it is abandoned. */
  completeScored(
    { record, item }: ScoredItem,
    score: string | undefined,
  ): void {
    const stored = record.getPartialText(item.id);
    if (stored === undefined) return;
    const { versions, lastId } = stored;
    const result = { id: item.id, text: "", versions };
    this.#storeResult(
      record,
      score === undefined
        ? { ...result, state: ResultState.Abandoned }
        : { ...result, state: ResultState.Completed, score },
      lastId,
    );
  }

  /**
   * Reuses the completed result of an item that was resubmitted in another
   * batch, if its versions are allowed. Its score counts for the same scoring
   * call only.
   * @returns Whether there was one.
   */
  reuseResult(
    { record, item }: WaitingItem,
    records: readonly BatchRecord[],
  ): boolean {
    const { minVersion, isSingleVersion } = record.spec;
    for (const other of records) {
      if (other === record || !other.hasResult(item.id)) continue;
      if (!isSameItem({ record, item }, other)) continue;
      const result = other.getResult(item.id);
      if (result?.state !== ResultState.Completed) continue;
      const isFresh = result.versions.every((v) => v >= minVersion);
      const isSingle = !isSingleVersion || result.versions.length === 1;
      if (!isFresh || !isSingle || result.versions.length === 0) continue;
      const scoringId = other.getItem(item.id)?.scoring?.id;
      return this.#reuse({ record, item }, result, {
        batch: other.spec.id,
        withScore: scoringId === item.scoring?.id,
      });
    }
    return false;
  }

  /**
   * Stores a result of another batch, once its text is in memory.
   * @returns Whether it is or will be stored; false if its text was unreadable.
   */
  #reuse(
    { record, item }: WaitingItem,
    result: BatchResult,
    { batch, withScore }: {
      readonly batch: string;
      readonly withScore: boolean;
    },
  ): boolean {
    const store = (read: BatchResult) => {
      if (withScore) this.#storeResult(record, read);
      else this.reuseText(record, item, read);
    };
    if (!(result instanceof HeldResult) || result.hasText) {
      store(result);
      return true;
    }
    const key = itemKeyOf(record.spec.id, item.id);
    if (this.#unreadable.has(key)) return false;
    this.#pending.add(key);
    const { readTexts = readFromMemory } = this.#options;
    readTexts(batch, [result])
      .then(([read]) => this.#pending.has(key) && store(read))
      .catch(() => this.#onUnreadable(key));
    return true;
  }

  /** Lets an item run anew whose earlier text cannot be read. */
  #onUnreadable(key: string): void {
    this.#unreadable.add(key);
    this.#pending.delete(key);
  }

  /** Reuses a complete text whose score, if it has one, is of another call. */
  reuseText(
    record: BatchRecord,
    item: BatchItem,
    { text, versions }: CompleteText,
  ): void {
    if (item.scoring === undefined) {
      const state = ResultState.Completed;
      this.#storeResult(record, { id: item.id, state, text, versions });
      return;
    }
    const pieces = [text];
    this.#storeCompleteText(record, item, { after: 0, pieces, versions });
  }

  #storeCompleted({ record, item, text, storedEventId }: ItemRun): void {
    const { versions } = text;
    const result = { id: item.id, state: ResultState.Completed, versions };
    const rest = text.piecesAfter(storedEventId).join("\n");
    const writesFullText = storedEventId === 0 ||
      (rest === "" && storedEventId < text.lastId);
    if (writesFullText) {
      this.#storeResult(record, { ...result, text: text.text });
      return;
    }
    this.#storeResult(record, { ...result, text: rest }, storedEventId);
  }

  /** @param after - Events of the text that are already stored. */
  #storeResult(record: BatchRecord, result: BatchResult, after = 0): void {
    const batch = record.spec.id;
    this.#pending.add(itemKeyOf(batch, result.id));
    this.#options.storeResult(
      after === 0 ? { batch, result } : { batch, result, after },
    );
  }

  #storeCompleteText(
    record: BatchRecord,
    item: BatchItem,
    text: Pick<PartialTextRecord, "after" | "pieces" | "versions">,
  ): void {
    const batch = record.spec.id;
    this.#pending.add(itemKeyOf(batch, item.id));
    this.#options.storeCompleteText({
      batch,
      item: item.id,
      ...text,
      isComplete: true,
    });
  }
}
