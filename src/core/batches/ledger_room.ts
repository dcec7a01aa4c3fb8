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

/** Input of {@link findRetryAfterMs}. */
export interface LedgerRoomInput {
  readonly spec: BatchSpec;
  readonly records: readonly BatchRecord[];
  readonly roomBytes: number;
  readonly keepResultsMs: number;
  /** Time of the clock, in milliseconds since the Unix epoch. */
  readonly wallNow: number;
}

/** Memory of a process besides its heap and the texts, in bytes. */
const NATIVE_BYTES = 67_108_864;
/** Part of the heap that is in use beside the texts. */
const HEAP_SHARE = 0.5;
/** Part of the machine's memory that is left to others. */
const FREE_SHARE = 0.05;
/** Memory for a batch, of which the log keeps a part once it is forgotten. */
const LOG_FACTOR = 1.3;
/** Room that any process has, in bytes. */
const MIN_ROOM_BYTES = 16_777_216;

/**
 * Gets the size that the batches of a ledger may have. Without a known machine
 * they may take as much as the heap.
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

/** Gets the size of batches with the outputs that open ones will have. */
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
  { spec, records, roomBytes, keepResultsMs, wallNow }: LedgerRoomInput,
): number {
  const meanBytes = meanTextBytesOf(records);
  const ownBytes = estimateSpecBytes(spec) + spec.items.length * meanBytes;
  let excessBytes = expectedBytesOf(records) + ownBytes - roomBytes;
  if (excessBytes <= 0 || records.length === 0) return 0;
  const byExpiry = records
    .map((record) => ({ record, at: expiryOf(record, keepResultsMs) }))
    .sort((a, b) => a.at - b.at);
  let waitMs = 0;
  for (const { record, at } of byExpiry) {
    if (excessBytes <= 0) break;
    excessBytes -= record.bytes + record.openCount * meanBytes;
    waitMs = at - wallNow;
  }
  return spreadRetryAfterMs(waitMs, spec.id);
}

/** Gets the mean size of a result's text; 0 if there is none. */
function meanTextBytesOf(records: readonly BatchRecord[]): number {
  const results = sumOf(records, ({ resultCount }) => resultCount);
  if (results === 0) return 0;
  return sumOf(records, ({ outputBytes }) => outputBytes) / results;
}
