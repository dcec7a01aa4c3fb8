/** Completion of a replica of the ledger that lacks texts. */
import type {
  BatchState,
  HeldResult,
  MissingText,
} from "../../core/batches/mod.ts";
import { sumOf } from "../../core/statistics/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { ResultFiles } from "./result_files.ts";
import type { TextExchange } from "./text_exchange.ts";

/** Options of {@link TextBackfill}. */
export interface TextBackfillOptions {
  /** Gets the replicated state of the ledger. */
  readonly state: () => BatchState;
  /** Gets the files with texts; undefined before the store is open. */
  readonly files: () => ResultFiles | undefined;
  readonly exchange: Pick<TextExchange, "fetch" | "completeCount">;
  /** Gets whether the state or its stored snapshot lacks texts. */
  readonly isPartial: () => boolean;
  /** Stores a snapshot of the state. */
  readonly store: () => void;
  readonly logger: Logger;
  /** Gets monotonic time in milliseconds. */
  readonly now: () => number;
}

/** Maximum size of the texts of one request, in bytes. */
const REQUEST_BYTES = 262_144;
/** Number of requests at the same time. */
const MAX_REQUESTS = 4;
/** The same, for each instance that has texts: it may be the leader. */
const REQUESTS_PER_SOURCE = 2;

/**
 * Fetches the texts that a replica lacks, those of the latest batches first, and
 * stores a snapshot that names them. Until then the replica counts as partial.
 *
 * @example
 * ```ts
 * backfill.wake(); // at intervals, once this replica votes
 * ```
 */
export class TextBackfill {
  readonly #options: TextBackfillOptions;
  #isRunning = false;
  #isStopped = false;

  constructor(options: TextBackfillOptions) {
    this.#options = options;
  }

  /** Fetches what is missing, unless that is going on. */
  wake(): void {
    if (this.#isRunning || this.#isStopped || !this.#options.isPartial()) {
      return;
    }
    this.#isRunning = true;
    this.#run()
      .catch((err) => this.#onFailed(err))
      .finally(() => {
        this.#isRunning = false;
      });
  }

  /** Fetches no more texts. */
  stop(): void {
    this.#isStopped = true;
  }

  async #run(): Promise<void> {
    const { state, store, logger, now } = this.#options;
    const startedAt = now();
    const tried = new Set<HeldResult>();
    const workers = Array.from(
      { length: MAX_REQUESTS },
      (_, worker) => this.#fetchAll(worker, tried),
    );
    const bytes = sumOf(await Promise.all(workers), (fetched) => fetched);
    const { missingBytes } = state();
    if (bytes + missingBytes > 0) {
      const durationMs = Math.round(now() - startedAt);
      logger.event("textsFetched", { bytes, durationMs, missingBytes });
    }
    if (missingBytes === 0 && !this.#isStopped) store();
  }

  /**
   * Fetches texts until none is left to be tried, or there are as many others at
   * it as the sources bear.
   * @param worker - Number of fetches before this one.
   * @returns Size of the texts, in bytes.
   */
  async #fetchAll(worker: number, tried: Set<HeldResult>): Promise<number> {
    const { exchange } = this.#options;
    const isWanted = () =>
      worker < Math.max(1, REQUESTS_PER_SOURCE * exchange.completeCount);
    let bytes = 0;
    while (!this.#isStopped && isWanted()) {
      const missing = this.#options.state().getMissing(REQUEST_BYTES, tried);
      if (missing.length === 0) break;
      for (const { result } of missing) tried.add(result);
      bytes += await this.#fetch(missing);
    }
    return bytes;
  }

  async #fetch(missing: readonly MissingText[]): Promise<number> {
    const { exchange, files, state } = this.#options;
    const [openFiles, current] = [files(), state()];
    const texts = await exchange.fetch(missing);
    const found = missing.filter((_, i) => texts[i] !== undefined);
    const results = await openFiles?.fill(
      found.map(({ result }) => result),
      texts.filter((text) => text !== undefined),
    );
    // Files of a store that was opened again are gone.
    const isCurrent = files() === openFiles && state() === current;
    if (results === undefined || !isCurrent) return 0;
    found.forEach(({ batch }, i) =>
      current.get(batch)?.adoptLocations([results[i]])
    );
    return sumOf(results, ({ textBytes }) => textBytes);
  }

  #onFailed(err: unknown): void {
    const detail = (err as Error).message;
    this.#options.logger.event("textsNotStored", { detail });
  }
}
