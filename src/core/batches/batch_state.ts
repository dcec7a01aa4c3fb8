/** State machine of the ledger log: all batches. */
import { isSameText } from "../bytes/mod.ts";
import { sumOf } from "../statistics/mod.ts";
import { mayOpen } from "./batch_access.ts";
import type { BatchCommand, BatchCommandResult } from "./batch_command.ts";
import type { BatchResult } from "./batch.ts";
import { BatchRecord } from "./batch_record.ts";
import { HeldResult } from "./held_result.ts";
import type { LedgerSnapshot } from "./ledger_snapshot.ts";

/** A result of a batch whose text this replica does not have. */
export interface MissingText {
  readonly batch: string;
  readonly result: HeldResult;
}

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

  /** Gets the size of the texts that files hold, or will hold, in bytes. */
  get movedBytes(): number {
    return sumOf(this.all, ({ detachedTextBytes }) => detachedTextBytes);
  }

  /** Gets the size of the texts that this replica does not have, in bytes. */
  get missingBytes(): number {
    return sumOf(this.all, ({ missingTextBytes }) => missingTextBytes);
  }

  /** Gets whether this replica lacks texts. */
  get isPartial(): boolean {
    return this.all.some(({ missingTextBytes }) => missingTextBytes > 0);
  }

  /**
   * Gets results whose texts this replica does not have, those of the latest
   * batches first.
   * @param maxBytes - Maximum size of the texts; one is always taken.
   * @param skipped - Results that are left out.
   */
  getMissing(
    maxBytes: number,
    skipped: ReadonlySet<HeldResult>,
  ): MissingText[] {
    const missing: MissingText[] = [];
    let bytes = 0;
    for (
      const { spec, heldResults, missingTextBytes } of this.all.toReversed()
    ) {
      if (missingTextBytes === 0) continue;
      for (const result of heldResults) {
        if (!result.isMissing || skipped.has(result)) continue;
        bytes += result.textBytes;
        if (bytes > maxBytes && missing.length > 0) return missing;
        missing.push({ batch: spec.id, result });
      }
    }
    return missing;
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

  /**
   * Gets a snapshot with the texts that this replica has.
   * @param pending - Commands that will be applied after those of this state.
   */
  attach(
    { batches }: LedgerSnapshot,
    pending: readonly BatchCommand[],
  ): LedgerSnapshot {
    const known = new BatchState().load(this.save());
    for (const command of pending) known.apply(command);
    const attached = batches.map((batch) => {
      const record = known.get(batch.spec.id);
      if (record === undefined) return batch;
      const results = batch.results.map((result) => attachText(result, record));
      return { ...batch, results };
    });
    return { batches: attached };
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

/** Gets a result with the text that a record has of it, if it lacks its own. */
function attachText(result: BatchResult, record: BatchRecord): HeldResult {
  const received = HeldResult.from(result);
  const own = record.getHeldResult(result.id);
  if (!received.isMissing || own === undefined || own.isMissing) {
    return received;
  }
  return isSameText(own.digest, received.digest) ? own : received;
}
