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

/** Bytes of an item or a record besides its body or text. */
const FRAME_BYTES = 300;

const SIZES: {
  readonly [T in BatchCommand["type"]]: (
    command: Extract<BatchCommand, { type: T }>,
  ) => number;
} = {
  accept: ({ spec }) =>
    sumOf(spec.items, ({ body }) => FRAME_BYTES + body.length),
  list: ({ records }) =>
    sumOf(records, ({ result }) => FRAME_BYTES + result.text.length),
  keep: ({ records }) =>
    sumOf(records, ({ pieces }) => FRAME_BYTES + sumOf(pieces, lengthOf)),
  end: () => FRAME_BYTES,
  forget: ({ batches }) => sumOf(batches, lengthOf),
};

/** Gets about how many bytes a command takes. */
export function sizeOfCommand(command: BatchCommand): number {
  return SIZES[command.type](command as never);
}

function lengthOf(text: string): number {
  return text.length;
}

function sumOf<T>(values: readonly T[], sizeOf: (value: T) => number): number {
  return values.reduce((sum, value) => sum + sizeOf(value), 0);
}

/** How a command ended. */
export interface BatchAnswer {
  /** Whether the state holds what the command says, now or before. */
  readonly isHeld: boolean;
}
