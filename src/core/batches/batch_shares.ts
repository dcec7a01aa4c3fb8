/** Fair shares of the slots for batches that compete for them. */
import { sumOf } from "../statistics/mod.ts";
import type { WaitingItem } from "./batch_record.ts";

/** The waiting items of a batch, and what it uses already. */
export interface BatchQueue {
  readonly workspace: string;
  /** Rank of the batch's urgency; 0 is the most urgent. */
  readonly rank: number;
  /** Waiting items in the order in which the batch needs them. */
  readonly waiting: readonly WaitingItem[];
  /** Expected output of the running items, in tokens. */
  readonly runningTokens: number;
  readonly runningItems: number;
}

/** Input of {@link mergeByShares}. */
export interface BatchSharesInput {
  /** Queues in the order that decides between equal ones. */
  readonly queues: readonly BatchQueue[];
  /** Gets the expected output of an item, in tokens. */
  readonly tokensOf: (waiting: WaitingItem) => number;
}

/** Use of the slots by a batch as the order grows. */
interface BatchCursor {
  readonly queue: BatchQueue;
  readonly workspace: WorkspaceUse;
  next: number;
  tokens: number;
  items: number;
}

interface WorkspaceUse {
  tokens: number;
}

/**
 * Share of the expected tokens that a batch may run whatever its urgency, but
 * at least one item, so that none starves.
 */
const LEAST_SHARE = 0.05;
/** Share of the running items that all less urgent batches get in this way. */
const MAX_LEAST_SHARES = 0.25;

/**
 * Merges queues so that the most urgent ones come first, and equally urgent ones
 * use the same expected tokens by workspace and, within it, by batch.
 *
 * Shares count what runs now, not what ran before: they need no history, and a
 * batch that arrives later takes its share as slots become free.
 *
 * @example
 * ```ts
 * const order = mergeByShares({ queues, tokensOf });
 * ```
 */
export function mergeByShares(input: BatchSharesInput): WaitingItem[] {
  const cursors = createCursors(input.queues);
  const order: WaitingItem[] = [];
  let total = sumOf(cursors, ({ tokens }) => tokens);
  let items = sumOf(cursors, (cursor) => cursor.items);
  let open = cursors.filter(hasNext);
  while (open.length > 0) {
    const urgent = findUrgent(open);
    const cursor = findStarved(open, urgent.queue.rank) ?? urgent;
    const waiting = nextOf(cursor);
    const tokens = input.tokensOf(waiting);
    order.push(waiting);
    cursor.next += 1;
    cursor.tokens += tokens;
    cursor.items += 1;
    cursor.workspace.tokens += tokens;
    total += tokens;
    items += 1;
    if (!hasNext(cursor)) open = open.filter(hasNext);
  }
  return order;

  /** Gets the less urgent batch that is furthest from its least share. */
  function findStarved(
    candidates: readonly BatchCursor[],
    rank: number,
  ): BatchCursor | undefined {
    let least: BatchCursor | undefined;
    let granted = 1;
    for (const cursor of candidates) {
      if (cursor.queue.rank === rank) continue;
      granted += cursor.items;
      if (least === undefined || cursor.tokens < least.tokens) least = cursor;
    }
    if (least === undefined || granted > MAX_LEAST_SHARES * items) {
      return undefined;
    }
    const wanted = least.tokens + input.tokensOf(nextOf(least));
    const isDue = least.items === 0 || wanted <= LEAST_SHARE * total;
    return isDue ? least : undefined;
  }
}

function nextOf({ queue, next }: BatchCursor): WaitingItem {
  return queue.waiting[next];
}

/** Gets the batch that uses least, of the workspace that uses least. */
function findUrgent(open: readonly BatchCursor[]): BatchCursor {
  let best = open[0];
  for (const cursor of open) {
    const difference = cursor.queue.rank - best.queue.rank ||
      cursor.workspace.tokens - best.workspace.tokens ||
      cursor.tokens - best.tokens;
    if (difference < 0) best = cursor;
  }
  return best;
}

function createCursors(queues: readonly BatchQueue[]): BatchCursor[] {
  const workspaces = new Map<string, WorkspaceUse>();
  return queues.map((queue) => {
    let workspace = workspaces.get(queue.workspace);
    if (workspace === undefined) {
      workspace = { tokens: 0 };
      workspaces.set(queue.workspace, workspace);
    }
    workspace.tokens += queue.runningTokens;
    return {
      queue,
      workspace,
      next: 0,
      tokens: queue.runningTokens,
      items: queue.runningItems,
    };
  });
}

function hasNext({ queue, next }: BatchCursor): boolean {
  return next < queue.waiting.length;
}
