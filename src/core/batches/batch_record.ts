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

/** A result as it is kept: its text shares the pieces that the log holds. */
interface KeptResult {
  readonly id: string;
  readonly state: ResultState;
  readonly pieces: readonly string[];
  readonly versions: readonly number[];
}

/** Keeps one batch. */
export class BatchRecord {
  readonly spec: BatchSpec;
  readonly #items: ReadonlyMap<string, BatchItem>;
  readonly #results: KeptResult[] = [];
  readonly #listed = new Map<string, KeptResult>();
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

  /** Gets the number of results. */
  get size(): number {
    return this.#results.length;
  }

  /** Gets the results in their positions. */
  get results(): readonly BatchResult[] {
    return this.#results.map(toResult);
  }

  /** Gets an item. */
  getItem(id: string): BatchItem | undefined {
    return this.#items.get(id);
  }

  /** Gets the result of an item. */
  getResult(id: string): BatchResult | undefined {
    const kept = this.#listed.get(id);
    return kept === undefined ? undefined : toResult(kept);
  }

  /** Gets whether an item has a result. */
  isListed(id: string): boolean {
    return this.#listed.has(id);
  }

  /** Gets the items without a result. */
  get unlisted(): BatchItem[] {
    return this.spec.items.filter((item) => !this.#listed.has(item.id));
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
  #whole(result: BatchResult, after: number): KeptResult | undefined {
    const { id, state, text, versions } = result;
    if (after === 0) return { id, state, pieces: [text], versions };
    const kept = this.#kept.get(id);
    if (kept === undefined || kept.lastId < after) return undefined;
    const pieces = kept.pieces.slice(0, after);
    if (text.length > 0) pieces.push(text);
    return { id, state, pieces, versions };
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
    for (const kept of this.#results.slice(after)) {
      const result = toResult(kept);
      bytes += Buffer.byteLength(result.text);
      if (results.length > 0 && bytes > maxBytes) break;
      results.push(result);
    }
    const next = after + results.length;
    return { total: this.#items.size, next, results };
  }
}

function toResult({ id, state, pieces, versions }: KeptResult): BatchResult {
  return { id, state, text: pieces.join("\n"), versions };
}
