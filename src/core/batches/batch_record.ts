/** A batch with what has been listed of it. */
import {
  type BatchItem,
  type BatchResult,
  type BatchSpec,
  type ResultPage,
  ResultState,
} from "./batch.ts";
import type { KeptRecord } from "./batch_command.ts";
import type { KeptText } from "./run_text.ts";

/** Keeps one batch. */
export class BatchRecord {
  readonly spec: BatchSpec;
  readonly #items: ReadonlyMap<string, BatchItem>;
  readonly #results: BatchResult[] = [];
  readonly #listed = new Map<string, BatchResult>();
  readonly #kept = new Map<string, KeptText>();
  #isEnded = false;

  /** Creates the record of an accepted batch. */
  constructor(spec: BatchSpec) {
    this.spec = spec;
    this.#items = new Map(spec.items.map((item) => [item.id, item]));
  }

  /** Gets whether its caller has ended it. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Gets whether anything is left to run. */
  get isOpen(): boolean {
    return !this.#isEnded && this.#listed.size < this.#items.size;
  }

  /** Gets the results in their positions. */
  get results(): readonly BatchResult[] {
    return this.#results;
  }

  /** Gets an item. */
  getItem(id: string): BatchItem | undefined {
    return this.#items.get(id);
  }

  /** Gets the result of an item. */
  getResult(id: string): BatchResult | undefined {
    return this.#listed.get(id);
  }

  /** Gets the items without a result. */
  get unlisted(): BatchItem[] {
    return this.spec.items.filter((item) => !this.#listed.has(item.id));
  }

  /** Gets whether every item of a group has completed. */
  isGroupComplete(group: string): boolean {
    return this.spec.items.every((item) =>
      item.group !== group ||
      this.#listed.get(item.id)?.state === ResultState.Completed
    );
  }

  /**
   * Lists a result, unless the item has one.
   * @param after - Events of the text that are kept already.
   */
  list(result: BatchResult, after = 0): boolean {
    if (!this.#items.has(result.id) || this.#listed.has(result.id)) {
      return false;
    }
    const whole = this.#whole(result, after);
    if (whole === undefined) return false;
    this.#results.push(whole);
    this.#listed.set(result.id, whole);
    this.#kept.delete(result.id);
    return true;
  }

  /** Joins a result with the text that is kept; undefined where it is not. */
  #whole(result: BatchResult, after: number): BatchResult | undefined {
    if (after === 0) return result;
    const kept = this.#kept.get(result.id);
    if (kept === undefined || kept.lastId < after) return undefined;
    const pieces = kept.pieces.slice(0, after);
    if (result.text.length > 0) pieces.push(result.text);
    return { ...result, text: pieces.join("\n") };
  }

  /** Gets the text of an item whose run has not ended. */
  getKept(id: string): KeptText | undefined {
    return this.#kept.get(id);
  }

  /** Gets the texts of all items whose runs have not ended. */
  get kept(): ReadonlyMap<string, KeptText> {
    return this.#kept;
  }

  /** Replaces the text of an item whose run has not ended. */
  restoreKept(id: string, text: KeptText): this {
    this.#kept.set(id, text);
    return this;
  }

  /** Adds to the text of an item; what does not follow on is left out. */
  keep(record: KeptRecord): boolean {
    const { item, after, pieces, versions } = record;
    if (!this.#items.has(item) || this.#listed.has(item)) return false;
    const known = after === 0 ? undefined : this.#kept.get(item);
    if (after !== (known?.lastId ?? 0)) return false;
    this.#kept.set(item, {
      lastId: after + pieces.length,
      pieces: [...known?.pieces ?? [], ...pieces],
      versions,
    });
    return true;
  }

  /** Ends the batch. */
  end(): this {
    this.#isEnded = true;
    return this;
  }

  /**
   * Gets results from a position on.
   * @param maxBytes - Size of the texts after which a page ends.
   */
  page(after: number, maxBytes: number): ResultPage {
    const results: BatchResult[] = [];
    let bytes = 0;
    for (const result of this.#results.slice(after)) {
      bytes += Buffer.byteLength(result.text);
      if (results.length > 0 && bytes > maxBytes) break;
      results.push(result);
    }
    const next = after + results.length;
    return { total: this.#items.size, next, results };
  }
}
