/** Commands of the ledger's log, and their answers. */
import type { BatchResult, BatchSpec } from "./batch.ts";

/** A result and its batch. */
export interface ResultRecord {
  readonly batch: string;
  readonly result: BatchResult;
  /** Events of the text that are kept already; none where absent. */
  readonly after?: number;
}

/** Text of an item whose run goes on. */
export interface KeptRecord {
  readonly batch: string;
  readonly item: string;
  /** Number of the event before the first piece. */
  readonly after: number;
  readonly pieces: readonly string[];
  readonly versions: readonly number[];
}

/** A command. */
export type BatchCommand =
  | { readonly type: "accept"; readonly spec: BatchSpec }
  | { readonly type: "list"; readonly records: readonly ResultRecord[] }
  | { readonly type: "keep"; readonly records: readonly KeptRecord[] }
  | { readonly type: "end"; readonly batch: string }
  | { readonly type: "forget"; readonly batches: readonly string[] };

/** How a command ended. */
export interface BatchAnswer {
  /** Whether the state holds what the command says, now or before. */
  readonly isHeld: boolean;
}
