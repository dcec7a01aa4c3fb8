/** Commands of the ledger log and their results. */
import { sumOf } from "../statistics/mod.ts";
import type { BatchResult, BatchSpec } from "./batch.ts";
import { HeldPieces } from "./held_pieces.ts";
import { HeldResult } from "./held_result.ts";

/** A result together with the identifier of its batch. */
export interface ResultRecord {
  readonly batch: string;
  readonly result: BatchResult;
  /** Events of the text that the ledger already stores; 0 if absent. */
  readonly after?: number;
}

/** Pieces of an output, plain or as the log holds them. */
export type Pieces = readonly string[] | HeldPieces;

/** Part of the output of an item that has no result yet. */
export interface PartialTextRecord<P extends Pieces = readonly string[]> {
  readonly batch: string;
  readonly item: string;
  /** Number of the event that precedes the first piece. */
  readonly after: number;
  readonly pieces: P;
  readonly versions: readonly number[];
  /** Software version of the targets that wrote the pieces. */
  readonly software?: string | undefined;
  /** Whether the output ends with these pieces; it then waits for its score. */
  readonly isComplete?: boolean;
}

/** A command of the ledger log. */
export type BatchCommand =
  | { readonly type: "accept"; readonly spec: BatchSpec }
  | { readonly type: "list"; readonly records: readonly ResultRecord[] }
  | {
    readonly type: "keep";
    readonly records: readonly PartialTextRecord<Pieces>[];
  }
  | { readonly type: "end"; readonly batch: string }
  | { readonly type: "forget"; readonly batches: readonly string[] };

/** Estimated size of an item or record without its body or text, in bytes. */
const OVERHEAD_BYTES = 300;

const SIZES: {
  readonly [T in BatchCommand["type"]]: (
    command: Extract<BatchCommand, { type: T }>,
  ) => number;
} = {
  accept: ({ spec }) => estimateSpecBytes(spec),
  list: ({ records }) =>
    sumOf(records, ({ result }) => OVERHEAD_BYTES + textBytesOf(result)),
  keep: ({ records }) =>
    sumOf(records, ({ pieces }) => OVERHEAD_BYTES + piecesBytesOf(pieces)),
  end: () => OVERHEAD_BYTES,
  forget: ({ batches }) => sumOf(batches, lengthOf),
};

/** Estimates the size of a command, in bytes. */
export function estimateCommandBytes(command: BatchCommand): number {
  return SIZES[command.type](command as never);
}

/** Estimates the size of a batch without results, in bytes. */
export function estimateSpecBytes({ items }: BatchSpec): number {
  return sumOf(
    items,
    ({ body, scoring }) =>
      OVERHEAD_BYTES + body.length + (scoring?.body.length ?? 0),
  );
}

/** Estimates the size of a result's text, in bytes. */
export function textBytesOf(result: BatchResult): number {
  return result instanceof HeldResult ? result.textBytes : result.text.length;
}

function piecesBytesOf(pieces: Pieces): number {
  return pieces instanceof HeldPieces
    ? pieces.estimatedBytes
    : sumOf(pieces, lengthOf);
}

function lengthOf(text: string): number {
  return text.length;
}

/** Result of applying a command. */
export interface BatchCommandResult {
  /** Whether the command is in effect, now or since an earlier application. */
  readonly isHeld: boolean;
}
