/** Forms in which commands and snapshots of the ledger are held in memory. */
import { sumOf } from "../statistics/mod.ts";
import type { BatchItem, BatchSpec } from "./batch.ts";
import type { BatchCommand } from "./batch_command.ts";
import { HeldPartialText } from "./held_partial_text.ts";
import { HeldPieces } from "./held_pieces.ts";
import { HeldResult } from "./held_result.ts";
import type { LedgerPart } from "./ledger_snapshot.ts";

const HANDLERS: {
  readonly [T in BatchCommand["type"]]?: (
    command: Extract<BatchCommand, { type: T }>,
  ) => BatchCommand;
} = {
  accept: (command) => ({ ...command, spec: holdSpec(command.spec) }),
  list: (command) => ({
    ...command,
    records: command.records.map((record) => ({
      ...record,
      result: HeldResult.from(record.result),
    })),
  }),
  keep: (command) => ({
    ...command,
    records: command.records.map((record) => ({
      ...record,
      pieces: HeldPieces.from(record.pieces),
    })),
  }),
};

/** Gets a command with its texts outside the heap; is encoded as before. */
export function holdCommand(command: BatchCommand): BatchCommand {
  return HANDLERS[command.type]?.(command as never) ?? command;
}

/** Gets a part of a snapshot with its texts outside the heap. */
export function holdPart(part: LedgerPart): LedgerPart {
  if (!("batch" in part)) return { results: part.results.map(HeldResult.from) };
  const { spec, results, kept } = part.batch;
  const batch = {
    ...part.batch,
    spec: holdSpec(spec),
    results: results.map(HeldResult.from),
    kept: kept.map(([id, text]) => [id, HeldPartialText.from(text)] as const),
  };
  return { batch };
}

/** Gets a specification whose bodies keep nothing of the message they came in. */
function holdSpec(spec: BatchSpec): BatchSpec {
  const { items } = spec;
  const block = Buffer.allocUnsafeSlow(
    sumOf(
      items,
      ({ body, scoring }) => body.byteLength + (scoring?.body.byteLength ?? 0),
    ),
  );
  let end = 0;
  const copy = (bytes: Uint8Array) => {
    block.set(bytes, end);
    end += bytes.byteLength;
    return block.subarray(end - bytes.byteLength, end);
  };
  const hold = (item: BatchItem): BatchItem => {
    const held = { ...item, body: copy(item.body) };
    if (item.scoring === undefined) return held;
    const body = copy(item.scoring.body);
    return { ...held, scoring: { ...item.scoring, body } };
  };
  return { ...spec, items: items.map(hold) };
}
