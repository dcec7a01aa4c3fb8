/** State of one batch in the ledger: results and partial outputs. */
import type { BatchItem, BatchResult, BatchSpec, ResultPage } from "./batch.ts";
import {
  estimateSpecBytes,
  type PartialTextRecord,
  type Pieces,
} from "./batch_command.ts";
import { HeldPartialText } from "./held_partial_text.ts";
import { HeldPieces } from "./held_pieces.ts";
import { HeldResult } from "./held_result.ts";
import type { PartialText } from "./run_text.ts";

/** An item that waits to be run. */
export interface WaitingItem {
  readonly record: BatchRecord;
  readonly item: BatchItem;
}

/** Holds the specification, results and partial outputs of one batch. */
export class BatchRecord {
  readonly spec: BatchSpec;
  readonly #items: ReadonlyMap<string, BatchItem>;
  readonly #results: HeldResult[] = [];
  readonly #resultsById = new Map<string, HeldResult>();
  readonly #partialTexts = new Map<string, HeldPartialText>();
  readonly #specBytes: number;
  #bytes: number;
  /** Size of the results' texts in memory, and of those in files. */
  #heldTextBytes = 0;
  #locatedTextBytes = 0;
  #isEnded = false;

  /** Creates the record of a batch that has no results yet. */
  constructor(spec: BatchSpec) {
    this.spec = spec;
    this.#specBytes = estimateSpecBytes(spec);
    this.#bytes = this.#specBytes;
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

  /**
   * Gets the estimated size in memory of the specification and all texts, in
   * bytes.
   */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Gets the estimated size of results and partial outputs, in memory or files,
   * in bytes.
   */
  get outputBytes(): number {
    return this.#bytes - this.#specBytes + this.#locatedTextBytes;
  }

  /** Gets the size of the results' texts in memory, in bytes. */
  get heldTextBytes(): number {
    return this.#heldTextBytes;
  }

  /** Gets the size of the results' texts in files, in bytes. */
  get locatedTextBytes(): number {
    return this.#locatedTextBytes;
  }

  /** Gets the number of items that may yet have a result. */
  get openCount(): number {
    return this.isOpen ? this.#items.size - this.#results.length : 0;
  }

  get resultCount(): number {
    return this.#results.length;
  }

  /** Gets the results in the order of their positions. */
  get results(): readonly BatchResult[] {
    return this.#results.map(plainOf);
  }

  /** Gets the results as they are held, for a snapshot. */
  get heldResults(): readonly HeldResult[] {
    return this.#results;
  }

  /** Gets an item by its identifier. */
  getItem(id: string): BatchItem | undefined {
    return this.#items.get(id);
  }

  /**
   * Gets the result of an item, or undefined if there is none yet. A text in a
   * file must be read before it is used.
   */
  getResult(id: string): BatchResult | undefined {
    const held = this.#resultsById.get(id);
    return held === undefined ? undefined : plainOf(held);
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
    this.#bytes += joined.heldBytes -
      (this.#partialTexts.get(result.id)?.estimatedBytes ?? 0);
    this.#heldTextBytes += joined.heldTextBytes;
    this.#locatedTextBytes += joined.location?.length ?? 0;
    this.#partialTexts.delete(result.id);
    return true;
  }

  /** Forgets the texts of results that have a place in a file. */
  adoptLocations(results: readonly BatchResult[]): this {
    for (const [i, result] of results.entries()) {
      const held = this.#results[i];
      if (!(result instanceof HeldResult) || held?.id !== result.id) continue;
      if (result.location === undefined || held.location !== undefined) {
        continue;
      }
      this.#results[i] = result;
      this.#resultsById.set(result.id, result);
      this.#bytes -= held.textBytes;
      this.#heldTextBytes -= held.textBytes;
      this.#locatedTextBytes += held.textBytes;
    }
    return this;
  }

  /** Prepends the stored text; undefined if events of it are missing. */
  #joinPartialText(result: BatchResult, after: number): HeldResult | undefined {
    const held = HeldResult.from(result);
    if (after === 0) return held;
    const stored = this.#partialTexts.get(result.id);
    if (stored === undefined || stored.lastId < after) return undefined;
    return held.after(stored.first(after));
  }

  /** Gets the partial output of an item that has no result yet. */
  getPartialText(id: string): PartialText | undefined {
    return this.#partialTexts.get(id)?.toJSON();
  }

  /** Gets the partial outputs of all items without a result. */
  get partialTexts(): ReadonlyMap<string, HeldPartialText> {
    return this.#partialTexts;
  }

  /** Sets the partial output of an item, when restoring a snapshot. */
  restorePartialText(id: string, text: PartialText | HeldPartialText): this {
    this.#setPartialText(id, HeldPartialText.from(text));
    return this;
  }

  /**
   * Appends to the partial output of an item, or restarts it if `after` is 0.
   * A complete output is final.
   * @returns False if the pieces do not continue the stored output.
   */
  appendPartialText(record: PartialTextRecord<Pieces>): boolean {
    const { item, after, pieces, versions, isComplete } = record;
    const { software } = record;
    if (!this.#items.has(item) || this.#resultsById.has(item)) return false;
    if (this.hasCompleteText(item)) return false;
    const existing = after === 0 ? undefined : this.#partialTexts.get(item);
    if (after !== (existing?.lastId ?? 0)) return false;
    const text = new HeldPartialText({
      parts: [...existing?.parts ?? [], HeldPieces.from(pieces)],
      versions,
      software: existing === undefined || existing.software === software
        ? software
        : undefined,
      ...(isComplete === true ? { isComplete } : {}),
    });
    this.#setPartialText(item, text);
    return true;
  }

  #setPartialText(id: string, text: HeldPartialText): void {
    this.#bytes += text.estimatedBytes -
      (this.#partialTexts.get(id)?.estimatedBytes ?? 0);
    this.#partialTexts.set(id, text);
  }

  /** Marks the batch as ended by its caller. */
  end(): this {
    this.#isEnded = true;
    return this;
  }

  /**
   * Gets a page of results that starts at a position. Texts in files must be
   * read before they are used.
   * @param after - Number of results to skip.
   * @param maxBytes - Maximum size of the texts; one result is always returned.
   */
  getPage(after: number, maxBytes: number): ResultPage {
    const results: BatchResult[] = [];
    let bytes = 0;
    for (let i = after; i < this.#results.length; i += 1) {
      const held = this.#results[i];
      bytes += held.textBytes;
      if (results.length > 0 && bytes > maxBytes) break;
      results.push(plainOf(held));
    }
    const next = after + results.length;
    return { total: this.#items.size, next, results };
  }
}

/** Gets a plain result; one whose text is in a file stays as it is held. */
function plainOf(held: HeldResult): BatchResult {
  return held.location === undefined ? held.toPlain() : held;
}
