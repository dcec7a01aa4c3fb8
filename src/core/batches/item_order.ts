/** Orders the waiting items of open batches. */
import type { BatchItem, BatchPriority } from "./batch.ts";
import type { BatchRecord, WaitingItem } from "./batch_record.ts";
import { comparePriorities } from "./batch_priority.ts";
import { type BatchQueue, mergeByShares } from "./batch_shares.ts";

/** Input of {@link orderItems}. */
export interface OrderInput {
  readonly records: readonly BatchRecord[];
  /** Gets whether an item waits: no result, not running, not in backoff. */
  readonly isWaiting: (record: BatchRecord, item: BatchItem) => boolean;
  /** Gets whether an earlier batch contained the item. */
  readonly isResubmitted: (record: BatchRecord, item: BatchItem) => boolean;
  /** Current time, in milliseconds since the Unix epoch. */
  readonly now: number;
}

interface OpenBatch extends Omit<BatchQueue, "rank"> {
  readonly dueAt: number;
  readonly isLate: boolean;
  readonly priority: BatchPriority | undefined;
}

interface Group {
  readonly waiting: BatchItem[];
  /** Expected output of the longest waiting item, in tokens. */
  longestTokens: number;
  /** Number of items that do not wait: with a result, running or in backoff. */
  started: number;
  size: number;
  isResubmitted: boolean;
}

/** Expected output of an item without an estimate, in tokens. */
export const DEFAULT_EXPECTED_TOKENS = 1_000;
/** Difference of due times up to which batches share the slots. */
export const CLOSE_MS = 1_000;
/** Share of overdue items among those waiting from which capacity is short. */
const SHORT_CAPACITY_SHARE = 0.1;

/**
 * Gets the waiting items in the order in which they should run.
 *
 * Overdue batches come last, more urgent priorities first, then earlier due
 * times. Batches whose due times are close share the slots by expected tokens,
 * and so do all of a priority if capacity is short: the one due first would
 * otherwise take all of it, until the others can no longer be in time. A caller
 * waits for a number of complete groups, so within a batch the groups expected
 * to complete first are preferred: resubmitted groups, then groups in progress,
 * then the shortest. Of the preferred items the longest start first, because
 * the last one to finish determines when the caller can continue. If capacity
 * is short, groups follow one another, so that some are complete in time.
 *
 * @example
 * ```ts
 * for (const { item } of orderItems(input)) place(item);
 * ```
 */
export function orderItems(input: OrderInput): WaitingItem[] {
  const services = new Map<string, BatchRecord[]>();
  for (const record of input.records) {
    if (!record.isOpen) continue;
    const open = services.get(record.spec.service);
    if (open === undefined) services.set(record.spec.service, [record]);
    else open.push(record);
  }
  return [...services.values()].flatMap((open) => orderService(open, input));
}

/** Orders the items of the batches of one service, which share its targets. */
function orderService(
  open: readonly BatchRecord[],
  input: OrderInput,
): WaitingItem[] {
  const isShort = isCapacityShort(open, input.now);
  const batches = open
    .map((record) => createBatch(record, input, isShort))
    .sort((a, b) => compareUrgency(a, b) || a.dueAt - b.dueAt);
  let rank = 0;
  let first = batches[0];
  const queues = batches.map((batch): BatchQueue => {
    const isEqual = compareUrgency(first, batch) === 0 &&
      (isShort || batch.dueAt - first.dueAt <= CLOSE_MS);
    if (!isEqual) {
      rank += 1;
      first = batch;
    }
    return { ...batch, rank };
  });
  return mergeByShares({
    queues,
    tokensOf: ({ item }) => expectedLengthOf(item),
  });
}

/** Compares what precedes the due times; a negative number if `a` does. */
function compareUrgency(a: OpenBatch, b: OpenBatch): number {
  return Number(a.isLate) - Number(b.isLate) ||
    comparePriorities(a.priority, b.priority);
}

/** Gets whether a considerable share of the unfinished items is overdue. */
function isCapacityShort(open: readonly BatchRecord[], now: number): boolean {
  let unfinished = 0;
  let late = 0;
  for (const record of open) {
    const count = record.spec.items.length - record.resultCount;
    unfinished += count;
    if (now > dueAtOf(record)) late += count;
  }
  return late > SHORT_CAPACITY_SHARE * unfinished;
}

function dueAtOf({ spec }: BatchRecord): number {
  return spec.acceptedAt + spec.objectiveMs;
}

function createBatch(
  record: BatchRecord,
  input: OrderInput,
  isShort: boolean,
): OpenBatch {
  const { workspace, priority } = record.spec;
  const dueAt = dueAtOf(record);
  const waiting = orderWithin(record, input, isShort);
  const isWaiting = new Set(waiting.map(({ item }) => item));
  let runningTokens = 0;
  let runningItems = 0;
  for (const item of record.spec.items) {
    const isDone = record.hasResult(item.id) ||
      record.hasCompleteText(item.id);
    if (isDone || isWaiting.has(item)) continue;
    runningItems += 1;
    runningTokens += expectedLengthOf(item);
  }
  return {
    workspace,
    waiting,
    runningTokens,
    runningItems,
    dueAt,
    isLate: input.now > dueAt,
    priority,
  };
}

function orderWithin(
  record: BatchRecord,
  input: OrderInput,
  isShort: boolean,
): WaitingItem[] {
  const groups = [...groupsOf(record, input).values()];
  const complete = groups
    .filter((g) => g.waiting.length === 0 && g.started === g.size).length;
  const open = groups
    .filter((group) => group.waiting.length > 0)
    .sort((a, b) =>
      Number(b.isResubmitted) - Number(a.isResubmitted) ||
      Number(b.started > 0) - Number(a.started > 0) ||
      a.longestTokens - b.longestTokens
    );
  if (isShort) {
    return open.flatMap((g) => longestFirst(g.waiting)).map(toWaiting);
  }
  const { desiredGroups } = record.spec;
  const isBounded = desiredGroups > 0 && desiredGroups < groups.length;
  const wanted = isBounded
    ? Math.max(1, desiredGroups - complete)
    : open.length;
  const rest = open.slice(wanted).flatMap((g) => longestFirst(g.waiting));
  return [
    ...longestFirst(open.slice(0, wanted).flatMap((g) => g.waiting)),
    ...rest,
  ].map(toWaiting);

  function toWaiting(item: BatchItem): WaitingItem {
    return { record, item };
  }
}

function longestFirst(items: readonly BatchItem[]): BatchItem[] {
  return [...items].sort((a, b) => expectedLengthOf(b) - expectedLengthOf(a));
}

function groupsOf(
  record: BatchRecord,
  input: OrderInput,
): Map<string, Group> {
  const groups = new Map<string, Group>();
  for (const item of record.spec.items) {
    let group = groups.get(item.group);
    if (group === undefined) {
      group = {
        waiting: [],
        longestTokens: 0,
        started: 0,
        size: 0,
        isResubmitted: false,
      };
      groups.set(item.group, group);
    }
    group.size += 1;
    group.isResubmitted ||= input.isResubmitted(record, item);
    if (!input.isWaiting(record, item)) {
      group.started += 1;
      continue;
    }
    group.waiting.push(item);
    group.longestTokens = Math.max(group.longestTokens, expectedLengthOf(item));
  }
  return groups;
}

/** Gets the expected output length of an item, in tokens. */
export function expectedLengthOf(item: BatchItem): number {
  return item.expectedTokens ?? DEFAULT_EXPECTED_TOKENS;
}
