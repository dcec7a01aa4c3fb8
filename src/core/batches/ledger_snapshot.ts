/** Snapshots of the ledger, and the parts in which they are sent. */
import { estimateBytes, type SnapshotDivider } from "../consensus/mod.ts";
import { holdPart } from "./held_command.ts";
import type { HeldPartialText } from "./held_partial_text.ts";
import { HeldResult } from "./held_result.ts";
import type { BatchResult, BatchSpec } from "./batch.ts";
import type { PartialText } from "./run_text.ts";

/** Snapshot of one batch. */
export interface BatchSnapshot {
  readonly spec: BatchSpec;
  readonly results: readonly BatchResult[];
  readonly kept: readonly (readonly [string, PartialText | HeldPartialText])[];
  readonly isEnded: boolean;
}

/** Snapshot of the complete ledger state. */
export interface LedgerSnapshot {
  readonly batches: readonly BatchSnapshot[];
}

/** A batch with its first results, or further results of the same batch. */
export type LedgerPart =
  | { readonly batch: BatchSnapshot }
  | { readonly results: readonly BatchResult[] };

/** Size above which the results of a batch are divided, in bytes. */
const MAX_PART_BYTES = 131_072;

/** Divides a snapshot into its batches, and those with long results further. */
export const LEDGER_SNAPSHOT_DIVIDER: SnapshotDivider<LedgerSnapshot> = {
  split: ({ batches }) => batches.flatMap(splitBatch),
  join: (parts) => {
    const batches: (BatchSnapshot & { results: BatchResult[] })[] = [];
    for (const part of parts as readonly LedgerPart[]) {
      if ("batch" in part) {
        batches.push({ ...part.batch, results: [...part.batch.results] });
      } else batches.at(-1)?.results.push(...part.results);
    }
    return { batches };
  },
  hold: (part) => holdPart(part as LedgerPart),
};

/**
 * Gets a snapshot with digests in place of the longer texts of results, which
 * replicas fetch from each other.
 */
export function detachTexts({ batches }: LedgerSnapshot): LedgerSnapshot {
  return {
    batches: batches.map((batch) => ({
      ...batch,
      results: batch.results.map((result) => HeldResult.from(result).detach()),
    })),
  };
}

function splitBatch(batch: BatchSnapshot): LedgerPart[] {
  const [first = [], ...others] = splitResults(batch.results);
  return [
    { batch: { ...batch, results: first } },
    ...others.map((results) => ({ results })),
  ];
}

function splitResults(results: readonly BatchResult[]): BatchResult[][] {
  const lists: BatchResult[][] = [];
  let bytes = Infinity;
  for (const result of results) {
    bytes += estimateBytes(result);
    if (bytes > MAX_PART_BYTES) {
      lists.push([]);
      bytes = estimateBytes(result);
    }
    lists.at(-1)?.push(result);
  }
  return lists;
}
