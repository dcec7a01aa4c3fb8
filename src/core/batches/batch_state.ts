/** State of the ledger's log: all batches. */
import type { BatchResult, BatchSpec } from "./batch.ts";
import type { BatchAnswer, BatchCommand } from "./batch_command.ts";
import { BatchRecord } from "./batch_record.ts";
import type { KeptText } from "./run_text.ts";

/** A batch in a snapshot. */
export interface BatchSnapshot {
  readonly spec: BatchSpec;
  readonly results: readonly BatchResult[];
  readonly kept: readonly (readonly [string, KeptText])[];
  readonly isEnded: boolean;
}

/** Whole state, for snapshots. */
export interface LedgerSnapshot {
  readonly batches: readonly BatchSnapshot[];
}

type Handlers = {
  readonly [T in BatchCommand["type"]]: (
    command: Extract<BatchCommand, { type: T }>,
  ) => boolean;
};

/**
 * Applies the commands of the ledger's log.
 *
 * @example
 * ```ts
 * state.apply({ type: "end", batch: "b-1" }); // { isHeld: true }
 * ```
 */
export class BatchState {
  readonly #batches = new Map<string, BatchRecord>();
  readonly #handlers: Handlers = {
    accept: ({ spec }) => {
      const known = this.#batches.get(spec.id);
      if (known !== undefined) return known.spec.workspace === spec.workspace;
      this.#batches.set(spec.id, new BatchRecord(spec));
      return true;
    },
    list: ({ records }) => {
      for (const { batch, result, after } of records) {
        this.#batches.get(batch)?.list(result, after);
      }
      return true;
    },
    keep: ({ records }) => {
      for (const record of records) {
        this.#batches.get(record.batch)?.keep(record);
      }
      return true;
    },
    end: ({ batch }) => {
      const record = this.#batches.get(batch);
      record?.end();
      return record !== undefined;
    },
    forget: ({ batches }) => {
      for (const batch of batches) this.#batches.delete(batch);
      return true;
    },
  };

  /** Gets a batch. */
  get(id: string): BatchRecord | undefined {
    return this.#batches.get(id);
  }

  /** Gets a batch of a workspace; undefined for those of others. */
  getOf(workspace: string, id: string): BatchRecord | undefined {
    const record = this.#batches.get(id);
    return record?.spec.workspace === workspace ? record : undefined;
  }

  /** Gets all batches, in order of acceptance. */
  get all(): readonly BatchRecord[] {
    return [...this.#batches.values()];
  }

  /** Applies a command. */
  apply(command: BatchCommand): BatchAnswer {
    const handler = this.#handlers[command.type] as (
      command: BatchCommand,
    ) => boolean;
    return { isHeld: handler(command) };
  }

  /** Gets the whole state. */
  save(): LedgerSnapshot {
    const batches = this.all.map(({ spec, results, kept, isEnded }) => ({
      spec,
      results: [...results],
      kept: [...kept],
      isEnded,
    }));
    return { batches };
  }

  /** Replaces the whole state. */
  load(snapshot: LedgerSnapshot): this {
    this.#batches.clear();
    for (const { spec, results, kept, isEnded } of snapshot.batches) {
      const record = new BatchRecord(spec);
      for (const result of results) record.list(result);
      for (const [id, text] of kept) record.restoreKept(id, text);
      if (isEnded) record.end();
      this.#batches.set(spec.id, record);
    }
    return this;
  }
}
