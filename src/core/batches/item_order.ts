/** Decides in which order the items of open batches are run. */
import type { BatchItem } from "./batch.ts";
import type { BatchRecord } from "./batch_record.ts";

/** An item that waits for a run. */
export interface WaitingItem {
  readonly record: BatchRecord;
  readonly item: BatchItem;
}

/** What the decision looks at. */
export interface OrderQuestion {
  readonly records: readonly BatchRecord[];
  /** Gets whether an item waits: neither listed, nor running, nor paused. */
  readonly isWaiting: (record: BatchRecord, item: BatchItem) => boolean;
  /** Gets whether an item came in an earlier batch already. */
  readonly isCarried: (record: BatchRecord, item: BatchItem) => boolean;
  /** Current time, in milliseconds since 1970. */
  readonly now: number;
}

interface Group {
  readonly waiting: BatchItem[];
  /** Expected tokens of its longest waiting item. */
  longest: number;
  /** Items that are listed or run. */
  begun: number;
  size: number;
  isCarried: boolean;
}

/** Expected length of an item that tells none, in tokens. */
const UNKNOWN_TOKENS = 1_000;

/**
 * Gets the waiting items, the one to be run next first.
 *
 * Batches come by their due time, those that are late already last. A caller
 * waits for a number of whole groups: those that came again, and any others.
 * So within a batch the groups that complete soonest are wanted, those that
 * have begun before the rest; of the wanted items the longest start first, for
 * the last of them decides when the caller goes on.
 *
 * @example
 * ```ts
 * for (const { item } of orderItems(question)) place(item);
 * ```
 */
export function orderItems(question: OrderQuestion): WaitingItem[] {
  const { records, now } = question;
  const dueOf = (record: BatchRecord) =>
    record.spec.acceptedAt + record.spec.objectiveMs;
  const isLate = (record: BatchRecord) => now > dueOf(record);
  return records
    .filter((record) => record.isOpen)
    .sort((a, b) =>
      Number(isLate(a)) - Number(isLate(b)) || dueOf(a) - dueOf(b)
    )
    .flatMap((record) => orderWithin(record, question));
}

function orderWithin(
  record: BatchRecord,
  question: OrderQuestion,
): WaitingItem[] {
  const groups = [...groupsOf(record, question).values()];
  const complete = groups
    .filter((g) => g.waiting.length === 0 && g.begun === g.size).length;
  const open = groups
    .filter((group) => group.waiting.length > 0)
    .sort((a, b) =>
      Number(b.isCarried) - Number(a.isCarried) ||
      Number(b.begun > 0) - Number(a.begun > 0) ||
      a.longest - b.longest
    );
  const { desiredGroups } = record.spec;
  const isBounded = desiredGroups > 0 && desiredGroups < groups.length;
  const wanted = isBounded
    ? Math.max(1, desiredGroups - complete)
    : open.length;
  const spare = open.slice(wanted).flatMap((g) => longestFirst(g.waiting));
  return [
    ...longestFirst(open.slice(0, wanted).flatMap((g) => g.waiting)),
    ...spare,
  ].map((item) => ({ record, item }));
}

function longestFirst(items: readonly BatchItem[]): BatchItem[] {
  return [...items].sort((a, b) => lengthOf(b) - lengthOf(a));
}

function groupsOf(
  record: BatchRecord,
  question: OrderQuestion,
): Map<string, Group> {
  const groups = new Map<string, Group>();
  for (const item of record.spec.items) {
    let group = groups.get(item.group);
    if (group === undefined) {
      group = { waiting: [], longest: 0, begun: 0, size: 0, isCarried: false };
      groups.set(item.group, group);
    }
    group.size += 1;
    group.isCarried ||= question.isCarried(record, item);
    if (!question.isWaiting(record, item)) {
      group.begun += 1;
      continue;
    }
    group.waiting.push(item);
    group.longest = Math.max(group.longest, lengthOf(item));
  }
  return groups;
}

/** Gets the expected length of an item's output, in tokens. */
export function lengthOf(item: BatchItem): number {
  return item.expectedTokens ?? UNKNOWN_TOKENS;
}
