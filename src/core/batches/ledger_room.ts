/** Room for batches in the memory of a ledger process. */
import { spreadRetryAfterMs } from "../retry/mod.ts";
import { sumOf } from "../statistics/mod.ts";
import type { BatchSpec } from "./batch.ts";
import { estimateSpecBytes } from "./batch_command.ts";
import { expiryOf } from "./batch_expiry.ts";
import type { BatchRecord } from "./batch_record.ts";

/** Limits of a process, in bytes. */
export interface ProcessLimits {
  readonly heapBytes: number;
  /** Memory of the machine; undefined if it is not known. */
  readonly machineBytes: number | undefined;
}

/** What the batches of a ledger may take, in bytes. */
export interface LedgerRoom {
  readonly memoryBytes: number;
  /** Disk of the machine; Infinity if it is not known. */
  readonly diskBytes: number;
  /** Texts of results that memory holds before they are moved to files. */
  readonly maxUnmovedBytes: number;
}

/** Input of {@link findRetryAfterMs}. */
export interface LedgerRoomInput {
  readonly spec: BatchSpec;
  readonly records: readonly BatchRecord[];
  readonly room: LedgerRoom;
  /** Bytes of batches that are proposed and not among the records yet. */
  readonly proposedBytes?: number;
  readonly keepResultsMs: number;
  /** Time of the clock, in milliseconds since the Unix epoch. */
  readonly wallNow: number;
}

/** Sizes of what batches take, in bytes. */
interface BatchSizes {
  /** What stays in memory as long as the batch, and is in each snapshot. */
  readonly lastingBytes: number;
  /** Texts in memory that can be moved to files. */
  readonly heldTextBytes: number;
  /** Texts that are expected. */
  readonly openTextBytes: number;
  /** Texts in files. */
  readonly movedTextBytes: number;
}

/** Memory of a process besides its heap and the texts, in bytes. */
const NATIVE_BYTES = 67_108_864;
/** Part of the heap that is in use beside the texts. */
const HEAP_SHARE = 0.5;
/** Part of the machine's memory and disk that is left to others. */
const FREE_SHARE = 0.05;
/** Memory for a batch, of which the log keeps a part once it is forgotten. */
const LOG_FACTOR = 1.3;
/** Files of texts for each text, as those of expired batches are freed later. */
const FILE_FACTOR = 1.2;
/** Files of the log while one replaces another. */
const LOG_FILES = 2;
/** Size up to which a batch may take what larger ones leave, in bytes. */
const SMALL_BATCH_BYTES = 1_048_576;
/** Part of the room that larger batches may fill. */
const LARGE_BATCH_SHARE = 0.9;
/** Time in which a proposal has ended. */
const PROPOSAL_MS = 1_000;
/** Room that any process has, in bytes. */
const MIN_ROOM_BYTES = 16_777_216;

/**
 * Gets the size in memory that the batches of a ledger may have. Without a known
 * machine they may take as much as the heap.
 *
 * @example
 * ```ts
 * roomOf({ heapBytes: 174e6, machineBytes: 390e6 }); // 166 MB
 * ```
 */
export function roomOf({ heapBytes, machineBytes }: ProcessLimits): number {
  const leftBytes = machineBytes === undefined
    ? heapBytes
    : machineBytes * (1 - FREE_SHARE) - NATIVE_BYTES - heapBytes * HEAP_SHARE;
  return Math.max(MIN_ROOM_BYTES, Math.round(leftBytes / LOG_FACTOR));
}

/** Gets the part of a disk that batches may take; Infinity if it is not known. */
export function diskRoomOf(diskBytes: number | undefined): number {
  return diskBytes === undefined ? Infinity : diskBytes * (1 - FREE_SHARE);
}

/**
 * Gets the size in memory of batches with the outputs that open ones will have.
 */
export function expectedBytesOf(records: readonly BatchRecord[]): number {
  const meanBytes = meanTextBytesOf(records);
  return sumOf(
    records,
    ({ bytes, openCount }) => bytes + openCount * meanBytes,
  );
}

/**
 * Gets the time after which a batch has room; 0 if it has it now. Room comes as
 * results expire.
 */
export function findRetryAfterMs(
  input: LedgerRoomInput,
): number {
  const { spec, records, keepResultsMs, wallNow, proposedBytes = 0 } = input;
  const meanBytes = meanTextBytesOf(records);
  const specBytes = estimateSpecBytes(spec);
  const isOneOfLarge = specBytes > SMALL_BATCH_BYTES &&
    (proposedBytes > SMALL_BATCH_BYTES || records.some(isLargeRecord));
  const share = isOneOfLarge ? LARGE_BATCH_SHARE : 1;
  const room = { ...input.room, memoryBytes: share * input.room.memoryBytes };
  // Of large batches beside others, texts may fill what memory holds of them.
  const minTextBytes = isOneOfLarge && Number.isFinite(room.maxUnmovedBytes)
    ? room.maxUnmovedBytes
    : 0;
  let sizes: BatchSizes = {
    lastingBytes: specBytes + proposedBytes,
    heldTextBytes: 0,
    openTextBytes: Math.max(minTextBytes, spec.items.length * meanBytes),
    movedTextBytes: 0,
  };
  for (const record of records) {
    sizes = addSizes(sizes, sizesOf(record, meanBytes), 1);
  }
  // Nothing would give room to a batch that is too large by itself.
  const isAlone = records.length === 0 && proposedBytes === 0;
  if (hasRoom(sizes, room) || isAlone) return 0;
  const byExpiry = records
    .map((record) => ({ record, at: expiryOf(record, keepResultsMs) }))
    .sort((a, b) => a.at - b.at);
  let waitMs = proposedBytes > 0 ? PROPOSAL_MS : 0;
  for (const { record, at } of byExpiry) {
    if (hasRoom(sizes, room)) break;
    sizes = addSizes(sizes, sizesOf(record, meanBytes), -1);
    waitMs = Math.max(waitMs, at - wallNow);
  }
  return spreadRetryAfterMs(waitMs, spec.id);
}

function isLargeRecord({ bytes, heldTextBytes }: BatchRecord): boolean {
  return bytes - heldTextBytes > SMALL_BATCH_BYTES;
}

function sizesOf(record: BatchRecord, meanBytes: number): BatchSizes {
  const { bytes, heldTextBytes, detachedTextBytes, openCount } = record;
  return {
    lastingBytes: bytes - heldTextBytes,
    heldTextBytes,
    openTextBytes: openCount * meanBytes,
    movedTextBytes: detachedTextBytes,
  };
}

function addSizes(a: BatchSizes, b: BatchSizes, factor: 1 | -1): BatchSizes {
  return {
    lastingBytes: a.lastingBytes + factor * b.lastingBytes,
    heldTextBytes: a.heldTextBytes + factor * b.heldTextBytes,
    openTextBytes: a.openTextBytes + factor * b.openTextBytes,
    movedTextBytes: a.movedTextBytes + factor * b.movedTextBytes,
  };
}

function hasRoom(
  { lastingBytes, heldTextBytes, openTextBytes, movedTextBytes }: BatchSizes,
  { memoryBytes, diskBytes, maxUnmovedBytes }: LedgerRoom,
): boolean {
  const textBytes = heldTextBytes + openTextBytes;
  const unmovedBytes = Math.max(
    heldTextBytes,
    Math.min(textBytes, maxUnmovedBytes),
  );
  const neededBytes = FILE_FACTOR * (textBytes + movedTextBytes) +
    LOG_FILES * (lastingBytes + unmovedBytes);
  return lastingBytes + unmovedBytes <= memoryBytes && neededBytes <= diskBytes;
}

/** Gets the mean size of a result's text; 0 if there is none. */
function meanTextBytesOf(records: readonly BatchRecord[]): number {
  const results = sumOf(records, ({ resultCount }) => resultCount);
  if (results === 0) return 0;
  return sumOf(records, ({ outputBytes }) => outputBytes) / results;
}
