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
import { withoutBody } from "./item_identity.ts";
import type { PartialText } from "./run_text.ts";

/** An item that waits to be run. */
export interface WaitingItem {
  readonly record: BatchRecord;
  readonly item: BatchItem;
}

/** Holds the specification, results and partial outputs of one batch. */
export class BatchRecord {
  #spec: BatchSpec;
  #items: ReadonlyMap<string, BatchItem>;
  readonly #results: HeldResult[] = [];
  /** Positions of the results, by item. */
  readonly #positions = new Map<string, number>();
  readonly #partialTexts = new Map<string, HeldPartialText>();
  #specBytes: number;
  #bytes: number;
  /** Size of the results' texts in memory, and of all others. */
  #heldTextBytes = 0;
  #detachedTextBytes = 0;
  /** Size of the results' texts that this replica does not have. */
  #missingTextBytes = 0;
  #isEnded = false;

  /** Creates the record of a batch that has no results yet. */
  constructor(spec: BatchSpec) {
    this.#spec = spec;
    this.#specBytes = estimateSpecBytes(spec);
    this.#bytes = this.#specBytes;
    this.#items = indexItems(spec);
  }

  /** Gets the specification; its items lack their bodies once the batch ended. */
  get spec(): BatchSpec {
    return this.#spec;
  }

  /** Gets whether the caller has ended the batch. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Gets whether the batch has not ended and has items without a result. */
  get isOpen(): boolean {
    return !this.#isEnded && this.#results.length < this.#items.size;
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
    return this.#bytes - this.#specBytes + this.#detachedTextBytes;
  }

  /** Gets the size of the results' texts in memory, in bytes. */
  get heldTextBytes(): number {
    return this.#heldTextBytes;
  }

  /** Gets the size of the texts that files hold, or will hold, in bytes. */
  get detachedTextBytes(): number {
    return this.#detachedTextBytes;
  }

  /** Gets the size of the texts that this replica does not have, in bytes. */
  get missingTextBytes(): number {
    return this.#missingTextBytes;
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
    const held = this.getHeldResult(id);
    return held === undefined ? undefined : plainOf(held);
  }

  /** Gets the result of an item as it is held. */
  getHeldResult(id: string): HeldResult | undefined {
    const position = this.#positions.get(id);
    return position === undefined ? undefined : this.#results[position];
  }

  /** Gets whether an item has a result. */
  hasResult(id: string): boolean {
    return this.#positions.has(id);
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
    return this.spec.items.filter((item) => !this.hasResult(item.id));
  }

  /**
   * Appends a result, unless the item already has one.
   * @param after - Events of the text that are already stored.
   * @returns Whether the result was appended.
   */
  addResult(result: BatchResult, after = 0): boolean {
    if (!this.#items.has(result.id) || this.hasResult(result.id)) return false;
    const joined = this.#joinPartialText(result, after);
    if (joined === undefined) return false;
    this.#positions.set(result.id, this.#results.length);
    this.#results.push(joined);
    this.#bytes += joined.heldBytes -
      (this.#partialTexts.get(result.id)?.estimatedBytes ?? 0);
    this.#countTexts(joined, 1);
    this.#partialTexts.delete(result.id);
    return true;
  }

  /** Adopts the places that texts have in files, whether they were held or not. */
  adoptLocations(results: readonly BatchResult[]): this {
    for (const result of results) {
      const position = this.#positions.get(result.id);
      if (position === undefined || !(result instanceof HeldResult)) continue;
      const held = this.#results[position];
      if (result.location === undefined || held.location !== undefined) {
        continue;
      }
      this.#results[position] = result;
      this.#bytes += result.heldBytes - held.heldBytes;
      this.#countTexts(held, -1);
      this.#countTexts(result, 1);
    }
    return this;
  }

  #countTexts(result: HeldResult, sign: 1 | -1): void {
    const { textBytes, heldTextBytes, isMissing } = result;
    this.#heldTextBytes += sign * heldTextBytes;
    this.#detachedTextBytes += sign * (textBytes - heldTextBytes);
    if (isMissing) this.#missingTextBytes += sign * textBytes;
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
    if (!this.#items.has(item) || this.hasResult(item)) return false;
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

  /** Marks the batch as ended by its caller, and drops the bodies of its items. */
  end(): this {
    if (this.#isEnded) return this;
    this.#isEnded = true;
    this.#spec = { ...this.#spec, items: this.#spec.items.map(withoutBody) };
    this.#items = indexItems(this.#spec);
    const specBytes = estimateSpecBytes(this.#spec);
    this.#bytes += specBytes - this.#specBytes;
    this.#specBytes = specBytes;
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

function indexItems({ items }: BatchSpec): ReadonlyMap<string, BatchItem> {
  return new Map(items.map((item) => [item.id, item]));
}

/** Gets a plain result; one whose text is not in memory stays as it is held. */
function plainOf(held: HeldResult): BatchResult {
  return held.hasText ? held.toPlain() : held;
}
