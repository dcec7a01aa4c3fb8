/** State of one batch in the ledger: results and partial outputs. */
import type {
  BatchItem,
  BatchResult,
  BatchSpec,
  ResultPage,
  ResultState,
} from "./batch.ts";
import type { PartialTextRecord } from "./batch_command.ts";
import type { PartialText } from "./run_text.ts";

/** A stored result; shares its text pieces with the log. */
interface StoredResult {
  readonly id: string;
  readonly state: ResultState;
  readonly pieces: readonly string[];
  readonly versions: readonly number[];
  readonly score: string | undefined;
}

/** An item that waits to be run. */
export interface WaitingItem {
  readonly record: BatchRecord;
  readonly item: BatchItem;
}

/** Holds the specification, results and partial outputs of one batch. */
export class BatchRecord {
  readonly spec: BatchSpec;
  readonly #items: ReadonlyMap<string, BatchItem>;
  readonly #results: StoredResult[] = [];
  readonly #resultsById = new Map<string, StoredResult>();
  readonly #partialTexts = new Map<string, PartialText>();
  #isEnded = false;

  /** Creates the record of a batch that has no results yet. */
  constructor(spec: BatchSpec) {
    this.spec = spec;
    this.#items = new Map(spec.items.map((item) => [item.id, item]));
  }

  /** Gets whether the caller has ended the batch. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Gets whether the batch has not ended and has items without a result. */
  get isOpen(): boolean {
    return !this.#isEnded && this.#resultsById.size < this.#items.size;
  }

  get resultCount(): number {
    return this.#results.length;
  }

  /** Gets the results in the order of their positions. */
  get results(): readonly BatchResult[] {
    return this.#results.map(toResult);
  }

  /** Gets an item by its identifier. */
  getItem(id: string): BatchItem | undefined {
    return this.#items.get(id);
  }

  /** Gets the result of an item, or undefined if there is none yet. */
  getResult(id: string): BatchResult | undefined {
    const stored = this.#resultsById.get(id);
    return stored === undefined ? undefined : toResult(stored);
  }

  /** Gets whether an item has a result. */
  hasResult(id: string): boolean {
    return this.#resultsById.has(id);
  }

  /** Gets whether an item's output is complete and waits for its score. */
  hasCompleteText(id: string): boolean {
    return this.#partialTexts.get(id)?.isComplete === true;
  }

  /** Gets the items whose output is not complete. */
  get itemsToRun(): BatchItem[] {
    return this.pendingItems.filter(({ id }) => !this.hasCompleteText(id));
  }

  /** Gets the items without a result. */
  get pendingItems(): BatchItem[] {
    return this.spec.items.filter((item) => !this.#resultsById.has(item.id));
  }

  /**
   * Appends a result, unless the item already has one.
   * @param after - Events of the text that are already stored.
   * @returns Whether the result was appended.
   */
  addResult(result: BatchResult, after = 0): boolean {
    if (!this.#items.has(result.id) || this.#resultsById.has(result.id)) {
      return false;
    }
    const joined = this.#joinPartialText(result, after);
    if (joined === undefined) return false;
    this.#results.push(joined);
    this.#resultsById.set(result.id, joined);
    this.#partialTexts.delete(result.id);
    return true;
  }

  /** Prepends the stored text; undefined if events of it are missing. */
  #joinPartialText(
    result: BatchResult,
    after: number,
  ): StoredResult | undefined {
    const { id, state, text, versions, score } = result;
    if (after === 0) return { id, state, pieces: [text], versions, score };
    const stored = this.#partialTexts.get(id);
    if (stored === undefined || stored.lastId < after) return undefined;
    const pieces = stored.pieces.slice(0, after);
    if (text.length > 0) pieces.push(text);
    return { id, state, pieces, versions, score };
  }

  /** Gets the partial output of an item that has no result yet. */
  getPartialText(id: string): PartialText | undefined {
    return this.#partialTexts.get(id);
  }

  /** Gets the partial outputs of all items without a result. */
  get partialTexts(): ReadonlyMap<string, PartialText> {
    return this.#partialTexts;
  }

  /** Sets the partial output of an item, when restoring a snapshot. */
  restorePartialText(id: string, text: PartialText): this {
    this.#partialTexts.set(id, text);
    return this;
  }

  /**
   * Appends to the partial output of an item, or restarts it if `after` is 0.
   * A complete output is final.
   * @returns False if the pieces do not continue the stored output.
   */
  appendPartialText(record: PartialTextRecord): boolean {
    const { item, after, pieces, versions, isComplete } = record;
    const { software } = record;
    if (!this.#items.has(item) || this.#resultsById.has(item)) return false;
    if (this.hasCompleteText(item)) return false;
    const existing = after === 0 ? undefined : this.#partialTexts.get(item);
    if (after !== (existing?.lastId ?? 0)) return false;
    this.#partialTexts.set(item, {
      lastId: after + pieces.length,
      pieces: [...existing?.pieces ?? [], ...pieces],
      versions,
      software: existing === undefined || existing.software === software
        ? software
        : undefined,
      ...(isComplete === true ? { isComplete } : {}),
    });
    return true;
  }

  /** Marks the batch as ended by its caller. */
  end(): this {
    this.#isEnded = true;
    return this;
  }

  /**
   * Gets a page of results that starts at a position.
   * @param after - Number of results to skip.
   * @param maxBytes - Maximum size of the texts; one result is always returned.
   */
  getPage(after: number, maxBytes: number): ResultPage {
    const results: BatchResult[] = [];
    let bytes = 0;
    for (const stored of this.#results.slice(after)) {
      const result = toResult(stored);
      bytes += Buffer.byteLength(result.text);
      if (results.length > 0 && bytes > maxBytes) break;
      results.push(result);
    }
    const next = after + results.length;
    return { total: this.#items.size, next, results };
  }
}

/** Gets a result whose fields have the order in which all builds list them. */
function toResult(stored: StoredResult): BatchResult {
  const { id, state, pieces, versions, score } = stored;
  const result = { id, state, text: pieces.join("\n"), versions };
  return score === undefined ? result : { ...result, score };
}
