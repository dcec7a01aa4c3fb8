/** Texts of results: in memory, in files, or on other replicas. */
import {
  type BatchResult,
  type BatchState,
  HeldResult,
  type LedgerSnapshot,
  type MissingText,
  TextNotReadError,
} from "../../core/batches/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import { ResultFiles } from "./result_files.ts";
import { TextBackfill } from "./text_backfill.ts";
import {
  TextExchange,
  type TextName,
  type TextsReply,
} from "./text_exchange.ts";

/** Options of {@link LedgerTexts}. */
export interface LedgerTextsOptions {
  /** Gets the replicated state of the ledger. */
  readonly state: () => BatchState;
  /** Gets the instances with another replica. */
  readonly sources: () => readonly string[];
  /** Requests texts from an instance. */
  readonly request: (
    instance: string,
    names: readonly TextName[],
  ) => Promise<unknown>;
  /** Gets whether the state or its stored snapshot lacks texts. */
  readonly isPartial: () => boolean;
  /** Stores a snapshot of the state. */
  readonly store: () => void;
  readonly logger: Logger;
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
}

/** Reads the texts of results, and fetches those that this replica lacks. */
export class LedgerTexts {
  readonly #options: LedgerTextsOptions;
  readonly #exchange: TextExchange;
  readonly #backfill: TextBackfill;
  #files: ResultFiles | undefined;

  constructor(options: LedgerTextsOptions) {
    const files = () => this.#files;
    this.#options = options;
    this.#exchange = new TextExchange({ ...options, files });
    this.#backfill = new TextBackfill({
      ...options,
      files,
      exchange: this.#exchange,
    });
  }

  /** Opens the files in the folder of the log. */
  async open(folder: string, state: LedgerSnapshot): Promise<ResultFiles> {
    this.#files = await ResultFiles.open(folder, state);
    return this.#files;
  }

  /**
   * Gets results with their texts in memory.
   * @throws TextNotReadError if no replica answers that has one of them, and
   *     DamagedTextError if a file does not hold one as it was written.
   */
  async read(
    batch: string,
    results: readonly BatchResult[],
  ): Promise<BatchResult[]> {
    try {
      const fetched = await this.#fetchMissing(batch, results);
      return await this.#files?.read(fetched) ?? fetched;
    } catch (err) {
      const detail = (err as Error).message;
      this.#options.logger.event("resultUnreadable", { detail });
      throw err;
    }
  }

  /** Gets the texts of results for another replica. */
  serve(names: readonly TextName[]): Promise<TextsReply> {
    return this.#exchange.serve(names);
  }

  /** Fetches the texts that this replica lacks, if there are any. */
  backfill(): void {
    this.#backfill.wake();
  }

  /** Fetches no more texts. */
  stop(): void {
    this.#backfill.stop();
  }

  async #fetchMissing(
    batch: string,
    results: readonly BatchResult[],
  ): Promise<BatchResult[]> {
    const missing: MissingText[] = results
      .filter((result) => result instanceof HeldResult)
      .filter(({ isMissing }) => isMissing)
      .map((result) => ({ batch, result }));
    if (missing.length === 0) return [...results];
    const texts = await this.#exchange.fetch(missing);
    const complete = new Map<BatchResult, BatchResult>();
    missing.forEach(({ result }, i) => {
      const text = texts[i];
      if (text === undefined) throw new TextNotReadError(result.id);
      complete.set(result, result.withText(text).toPlain());
    });
    return results.map((result) => complete.get(result) ?? result);
  }
}
