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

/**
 * Part of the memory of a message from which on bodies keep it, as a copy would
 * take nearly as much.
 */
const KEPT_SHARE = 0.8;

/** Gets a specification whose bodies keep little of the message they came in. */
function holdSpec(spec: BatchSpec): BatchSpec {
  const { items } = spec;
  const bodies = items.flatMap(({ body, scoring }) =>
    scoring === undefined ? [body] : [body, scoring.body]
  );
  const bytes = sumOf(bodies, ({ byteLength }) => byteLength);
  return areMostOfTheirMemory(bodies, bytes) ? spec : copyBodies(spec, bytes);
}

function areMostOfTheirMemory(
  bodies: readonly Uint8Array[],
  bytes: number,
): boolean {
  const memory = bodies[0]?.buffer;
  if (memory === undefined || bytes < KEPT_SHARE * memory.byteLength) {
    return false;
  }
  return bodies.every(({ buffer }) => buffer === memory);
}

/** Copies the bodies to a block of memory of their own. */
function copyBodies(spec: BatchSpec, bytes: number): BatchSpec {
  const block = Buffer.allocUnsafeSlow(bytes);
  let end = 0;
  const copy = (body: Uint8Array) => {
    block.set(body, end);
    end += body.byteLength;
    return block.subarray(end - body.byteLength, end);
  };
  const hold = (item: BatchItem): BatchItem => {
    const held = { ...item, body: copy(item.body) };
    if (item.scoring === undefined) return held;
    const body = copy(item.scoring.body);
    return { ...held, scoring: { ...item.scoring, body } };
  };
  return { ...spec, items: spec.items.map(hold) };
}
