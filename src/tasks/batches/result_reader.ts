/** Reads of batch results and bodies from a replica of the ledger. */
import type {
  BatchRecord,
  BatchResult,
  BatchState,
  ResultPage,
} from "../../core/batches/mod.ts";
import { NO_WORKSPACE } from "../../core/policy/mod.ts";
import {
  RefusalError,
  RefusalReason,
  Verdict,
} from "../../core/verdict/mod.ts";
import {
  type BatchParams,
  type BodyParams,
  MAX_PAGE_BYTES,
  type ReadParams,
} from "./batch_port.ts";

/**
 * Gets results of a batch with their texts in memory.
 * @throws Error if one cannot be read or fetched.
 */
export type ReadTexts = (
  batch: string,
  results: readonly BatchResult[],
) => Promise<BatchResult[]>;

/** Gets results whose texts are all in memory. */
export function readFromMemory(
  _batch: string,
  results: readonly BatchResult[],
): Promise<BatchResult[]> {
  return Promise.resolve([...results]);
}

/** Options of {@link ResultReader}. */
export interface ResultReaderOptions {
  /** Gets the replicated state of the ledger. */
  readonly state: () => BatchState;
  /** Gets results with their texts; by default, all are in memory. */
  readonly readTexts?: ReadTexts;
  /**
   * Waits until a quorum confirms that this replica still leads.
   * @throws RefusalError if it does not.
   */
  readonly confirmLeadership: () => Promise<void>;
}

/**
 * Serves reads. The leader knows all results that were stored before a read;
 * another replica may lack the latest ones, but those it has never change.
 */
export class ResultReader {
  readonly #options: ResultReaderOptions;
  /** Callbacks of the reads that wait for a result, by batch. */
  readonly #waiters = new Map<string, Set<() => void>>();

  constructor(options: ResultReaderOptions) {
    this.#options = options;
  }

  /**
   * Reads results as the leader. Reads need its confirmation so that a deposed
   * leader does not answer from stale state.
   * @throws RefusalError if this replica does not lead, or the batch is unknown.
   */
  async read(params: ReadParams): Promise<ResultPage> {
    const { workspace, batch, after, waitMs } = params;
    const { state, confirmLeadership } = this.#options;
    await confirmLeadership();
    const find = () => state().getForCaller(workspace, batch);
    const record = find();
    if (record === undefined) throw createClosedError(state(), params);
    if (record.resultCount <= after && waitMs > 0 && record.isOpen) {
      await this.#waitForResult(batch, waitMs);
      await confirmLeadership();
    }
    return await this.#readPage(find() ?? record, after);
  }

  /**
   * Reads the results that this replica has, whether it leads or not.
   * @returns Undefined if it has none after the position; only the leader can
   *     tell whether there are any.
   */
  async readStored(params: ReadParams): Promise<ResultPage | undefined> {
    const { workspace, batch, after, waitMs } = params;
    const find = () => this.#options.state().getForCaller(workspace, batch);
    const record = find();
    if (record === undefined) return undefined;
    if (record.resultCount <= after && waitMs > 0 && record.isOpen) {
      await this.#waitForResult(batch, waitMs);
    }
    const latest = find() ?? record;
    return latest.resultCount > after
      ? await this.#readPage(latest, after)
      : undefined;
  }

  /**
   * Reads the body of an item as the leader.
   * @throws RefusalError if this replica does not lead, if the item is unknown, or
   *     if its batch has ended and the body is no longer held.
   */
  async readBody(params: BodyParams): Promise<Uint8Array> {
    const { workspace, batch, item } = params;
    const { state, confirmLeadership } = this.#options;
    await confirmLeadership();
    const record = state().getForCaller(workspace, batch);
    if (record === undefined) throw createClosedError(state(), params);
    const found = record.getItem(item);
    if (found === undefined || found.bodyDigest !== undefined) {
      throw createNotFoundError();
    }
    return found.body;
  }

  async #readPage(record: BatchRecord, after: number): Promise<ResultPage> {
    const { readTexts = readFromMemory } = this.#options;
    const page = record.getPage(after, MAX_PAGE_BYTES);
    try {
      const results = await readTexts(record.spec.id, page.results);
      return { ...page, results };
    } catch (err) {
      throw new RefusalError(RefusalReason.LedgerUnavailable, Verdict.NotRun, {
        message: `The results cannot be read here: ${(err as Error).message}`,
      });
    }
  }

  /** Wakes the reads that wait for a result of a batch. */
  wake(batch: string): void {
    for (const settle of this.#waiters.get(batch) ?? []) settle();
    this.#waiters.delete(batch);
  }

  /** Wakes all reads that wait for a result. */
  wakeAll(): void {
    for (const batch of [...this.#waiters.keys()]) this.wake(batch);
  }

  #waitForResult(batch: string, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const readers = this.#waiters.get(batch) ?? new Set();
      this.#waiters.set(batch, readers);
      const settle = () => {
        clearTimeout(timer);
        readers.delete(settle);
        resolve();
      };
      const timer = setTimeout(settle, waitMs);
      readers.add(settle);
    });
  }
}

/**
 * Creates the refusal of a caller who may not open a batch. A workspace learns
 * nothing of the batches of others; a caller without one lacks a key.
 */
export function createClosedError(
  state: BatchState,
  { workspace, batch }: BatchParams,
): RefusalError {
  const needsKey = workspace === NO_WORKSPACE && state.get(batch) !== undefined;
  if (!needsKey) return createNotFoundError();
  return new RefusalError(RefusalReason.KeyMissing, Verdict.NotRun, {
    message: "The batch belongs to a workspace",
  });
}

/** Creates the refusal for a batch or item that does not exist. */
function createNotFoundError(): RefusalError {
  return new RefusalError(RefusalReason.NotFound, Verdict.NotRun, {
    message: "No such batch or item",
  });
}
