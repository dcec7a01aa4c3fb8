/** State machine of the ledger log: all batches. */
import { sumOf } from "../statistics/mod.ts";
import { mayOpen } from "./batch_access.ts";
import type { BatchCommand, BatchCommandResult } from "./batch_command.ts";
import { BatchRecord } from "./batch_record.ts";
import type { LedgerSnapshot } from "./ledger_snapshot.ts";

type Handlers = {
  readonly [T in BatchCommand["type"]]: (
    command: Extract<BatchCommand, { type: T }>,
  ) => boolean;
};

/**
 * Holds all batches and applies the commands of the ledger log to them.
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
      const existing = this.#batches.get(spec.id);
      if (existing !== undefined) {
        return mayOpen(existing.spec.workspace, spec.workspace);
      }
      this.#batches.set(spec.id, new BatchRecord(spec));
      return true;
    },
    list: ({ records }) => {
      for (const { batch, result, after } of records) {
        this.#batches.get(batch)?.addResult(result, after);
      }
      return true;
    },
    keep: ({ records }) => {
      for (const record of records) {
        this.#batches.get(record.batch)?.appendPartialText(record);
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

  /** Gets a batch by its identifier. */
  get(id: string): BatchRecord | undefined {
    return this.#batches.get(id);
  }

  /** Gets a batch, or undefined if a caller of the workspace may not open it. */
  getForCaller(workspace: string, id: string): BatchRecord | undefined {
    const record = this.#batches.get(id);
    if (record === undefined) return undefined;
    return mayOpen(record.spec.workspace, workspace) ? record : undefined;
  }

  /** Gets all batches, in order of acceptance. */
  get all(): readonly BatchRecord[] {
    return [...this.#batches.values()];
  }

  /** Gets the estimated size of all batches in memory, in bytes. */
  get bytes(): number {
    return sumOf(this.all, ({ bytes }) => bytes);
  }

  /** Gets the size of the texts that can be moved to files, in bytes. */
  get movableBytes(): number {
    return sumOf(this.all, ({ heldTextBytes }) => heldTextBytes);
  }

  /** Gets the size of the texts in files, in bytes. */
  get movedBytes(): number {
    return sumOf(this.all, ({ locatedTextBytes }) => locatedTextBytes);
  }

  /** Applies a command; one of another build changes nothing. */
  apply(command: BatchCommand): BatchCommandResult {
    const handler = this.#handlers[command.type] as
      | ((command: BatchCommand) => boolean)
      | undefined;
    return { isHeld: handler?.(command) ?? false };
  }

  /** Forgets the texts that a snapshot of this state has in files. */
  adoptMoved({ batches }: LedgerSnapshot): this {
    for (const { spec, results } of batches) {
      this.#batches.get(spec.id)?.adoptLocations(results);
    }
    return this;
  }

  /** Creates a snapshot of the state. */
  save(): LedgerSnapshot {
    const batches = this.all.map((
      { spec, heldResults, partialTexts, isEnded },
    ) => ({
      spec,
      results: [...heldResults],
      kept: [...partialTexts],
      isEnded,
    }));
    return { batches };
  }

  /** Replaces the state by a snapshot. */
  load(snapshot: LedgerSnapshot): this {
    this.#batches.clear();
    for (const { spec, results, kept, isEnded } of snapshot.batches) {
      const record = new BatchRecord(spec);
      for (const result of results) record.addResult(result);
      for (const [id, text] of kept) record.restorePartialText(id, text);
      if (isEnded) record.end();
      this.#batches.set(spec.id, record);
    }
    return this;
  }
}
