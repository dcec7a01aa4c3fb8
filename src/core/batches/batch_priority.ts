/** The order of priorities of batches. */
import type { BatchPriority } from "./batch.ts";

/** Priority of a batch without one. */
const MOST_URGENT: BatchPriority = { workspace: 0, route: 0 };

/**
 * Compares two priorities; a negative number if `a` is more urgent.
 *
 * @example
 * ```ts
 * comparePriorities(undefined, { workspace: 1, route: 0 }); // -1
 * ```
 */
export function comparePriorities(
  a: BatchPriority = MOST_URGENT,
  b: BatchPriority = MOST_URGENT,
): number {
  return a.workspace - b.workspace || a.route - b.route;
}
