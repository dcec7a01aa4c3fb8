/** Finds the work that a submitted batch would have to wait for. */
import type { BatchItem, BatchSpec } from "./batch.ts";
import type { PrecedingWork } from "./batch_admission.ts";
import { comparePriorities } from "./batch_priority.ts";
import type { BatchRecord } from "./batch_record.ts";
import { CLOSE_MS } from "./item_order.ts";

/** The targets at which the items of a batch may run. */
export type BatchPlace = Pick<PrecedingWork, "place" | "placeTokensPerMs">;

/** Input of {@link findPrecedingWork}. */
export interface PrecedingInput {
  readonly spec: BatchSpec;
  readonly records: readonly BatchRecord[];
  /** Current time, in milliseconds since the Unix epoch. */
  readonly now: number;
  /** Gets the expected output that an item still needs, in tokens. */
  readonly tokensOf: (record: BatchRecord, item: BatchItem) => number;
  readonly placeOf: (record: BatchRecord) => BatchPlace;
}

/**
 * Gets the work of the open batches that precede a submitted one in the order
 * of items: those of a higher priority, and those of the same that are due no
 * later. Overdue batches count: their callers still wait, and acceptance was
 * acknowledged to them.
 *
 * @example
 * ```ts
 * const preceding = findPrecedingWork({ spec, records, now, tokensOf, placeOf });
 * ```
 */
export function findPrecedingWork(input: PrecedingInput): PrecedingWork[] {
  const { spec, records, now, tokensOf, placeOf } = input;
  const dueAt = now + spec.objectiveMs;
  const preceding: PrecedingWork[] = [];
  for (const record of records) {
    const other = record.spec;
    if (!record.isOpen || other.service !== spec.service) continue;
    const otherDueAt = other.acceptedAt + other.objectiveMs;
    const difference = comparePriorities(other.priority, spec.priority);
    if (difference > 0) continue;
    if (difference === 0 && otherDueAt > dueAt + CLOSE_MS) continue;
    preceding.push({
      workspace: other.workspace,
      isMoreUrgent: difference < 0,
      giveUpInMs: Math.max(0, other.acceptedAt + other.giveUpMs - now),
      tokens: wantedTokensOf(other, {
        isRunnable: (item) => !record.hasResult(item.id),
        tokensOf: (item) => tokensOf(record, item),
      }),
      ...placeOf(record),
    });
  }
  return preceding;
}

/**
 * Gets the expected output of the groups that the caller of a batch still waits
 * for, in tokens; the shortest ones if it waits for only some.
 *
 * @example
 * ```ts
 * wantedTokensOf(spec, { isRunnable: () => true, tokensOf: expectedLengthOf });
 * ```
 */
export function wantedTokensOf(
  { items, desiredGroups }: BatchSpec,
  options: {
    /** Gets whether an item has no result yet. */
    readonly isRunnable: (item: BatchItem) => boolean;
    readonly tokensOf: (item: BatchItem) => number;
  },
): number {
  const groups = new Map<string, number>();
  const open = new Set<string>();
  for (const item of items) {
    let tokens = groups.get(item.group) ?? 0;
    if (options.isRunnable(item)) {
      open.add(item.group);
      tokens += options.tokensOf(item);
    }
    groups.set(item.group, tokens);
  }
  const wanted = desiredGroups > 0
    ? Math.max(0, desiredGroups - (groups.size - open.size))
    : open.size;
  return [...open].map((group) => groups.get(group) ?? 0)
    .sort((a, b) => a - b)
    .slice(0, wanted)
    .reduce((sum, tokens) => sum + tokens, 0);
}
