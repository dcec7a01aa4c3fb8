/** Writes the outputs of items to the ledger. */
import type {
  BatchCommand,
  PartialTextRecord,
  ResultRecord,
} from "../../core/batches/mod.ts";
import type { Logger } from "../../logging/mod.ts";

/** Options of {@link ResultQueue}. */
export interface ResultQueueOptions {
  /** Proposes a command to the ledger's log. */
  readonly propose: (command: BatchCommand) => Promise<unknown>;
  /** Called for an item whose result or complete text could not be stored. */
  readonly onUnstored: (batch: string, item: string) => void;
  readonly logger: Logger;
}

/** Maximum number of results written by one log entry. */
const MAX_RESULTS_PER_ENTRY = 32;

/** Stores results, of which those that arrive during a write share the next. */
export class ResultQueue {
  readonly #options: ResultQueueOptions;
  #pending: ResultRecord[] = [];
  #isStoring = false;

  constructor(options: ResultQueueOptions) {
    this.#options = options;
  }

  /** Queues a result; results that arrive during a write share the next one. */
  add(record: ResultRecord): void {
    this.#pending.push(record);
    if (!this.#isStoring) this.#storePending();
  }

  /** Drops the results that have not been written. */
  clear(): this {
    this.#pending = [];
    return this;
  }

  /** Stores the complete text of an item. */
  storeCompleteText(record: PartialTextRecord): void {
    this.#options.propose({ type: "keep", records: [record] })
      .catch((err) => {
        this.#logFailure(err, 1);
        this.#options.onUnstored(record.batch, record.item);
      });
  }

  /** Stores the partial texts of runs in progress. */
  storePartialTexts(records: readonly PartialTextRecord[]): void {
    this.#options.propose({ type: "keep", records })
      .catch((err) => this.#logFailure(err, records.length));
  }

  #storePending(): void {
    const records = this.#pending.splice(0, MAX_RESULTS_PER_ENTRY);
    if (records.length === 0) return;
    this.#isStoring = true;
    this.#options.propose({ type: "list", records })
      .catch((err) => {
        this.#logFailure(err, records.length);
        for (const { batch, result } of records) {
          this.#options.onUnstored(batch, result.id);
        }
      })
      .finally(() => {
        this.#isStoring = false;
        this.#storePending();
      });
  }

  #logFailure(err: unknown, records: number): void {
    this.#options.logger.event("recordsUnstored", {
      reason: (err as Error).message,
      records,
    });
  }
}
