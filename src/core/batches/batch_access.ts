/** Who may open a batch: read, end or resubmit it. */
import { NO_WORKSPACE } from "../policy/mod.ts";

/**
 * Gets whether a caller may open a batch. One with an owner is open to its
 * workspace alone; one without is open to each caller who knows its identifier,
 * whatever keys there are by now.
 *
 * @param owner - Workspace of the batch.
 * @param caller - Workspace of the caller.
 * @example
 * ```ts
 * mayOpen("zoo", NO_WORKSPACE); // false
 * ```
 */
export function mayOpen(owner: string, caller: string): boolean {
  return owner === NO_WORKSPACE || owner === caller;
}
