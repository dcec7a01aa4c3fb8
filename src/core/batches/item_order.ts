/** Orders the waiting items of open batches. */
import type { BatchItem } from "./batch.ts";
import type { BatchRecord } from "./batch_record.ts";

/** An item that waits to be run. */
export interface WaitingItem {
  readonly record: BatchRecord;
  readonly item: BatchItem;
}

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
const DEFAULT_EXPECTED_TOKENS = 1_000;

/**
 * Gets the waiting items in the order in which they should run.
 *
 * Batches are ordered by due time; overdue batches come last. A caller waits
 * for a number of complete groups, so within a batch the groups expected to
 * complete first are preferred: resubmitted groups, then groups in progress,
 * then the shortest. Of the preferred items the longest start first, because
 * the last one to finish determines when the caller can continue.
 *
 * @example
 * ```ts
 * for (const { item } of orderItems(input)) place(item);
 * ```
 */
export function orderItems(input: OrderInput): WaitingItem[] {
  const { records, now } = input;
  const dueOf = (record: BatchRecord) =>
    record.spec.acceptedAt + record.spec.objectiveMs;
  const isLate = (record: BatchRecord) => now > dueOf(record);
  return records
    .filter((record) => record.isOpen)
    .sort((a, b) =>
      Number(isLate(a)) - Number(isLate(b)) || dueOf(a) - dueOf(b)
    )
    .flatMap((record) => orderWithin(record, input));
}

function orderWithin(
  record: BatchRecord,
  input: OrderInput,
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
  const { desiredGroups } = record.spec;
  const isBounded = desiredGroups > 0 && desiredGroups < groups.length;
  const wanted = isBounded
    ? Math.max(1, desiredGroups - complete)
    : open.length;
  const rest = open.slice(wanted).flatMap((g) => longestFirst(g.waiting));
  return [
    ...longestFirst(open.slice(0, wanted).flatMap((g) => g.waiting)),
    ...rest,
  ].map((item) => ({ record, item }));
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
