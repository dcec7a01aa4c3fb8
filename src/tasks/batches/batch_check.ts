/** Whether the items of a batch may be sent. */
import type { BatchRecord } from "../../core/batches/mod.ts";
import { WithheldReason } from "../send_guard.ts";

/**
 * Gets why nothing of a batch may be sent; undefined if it may.
 * @param holdsLease - Gets whether this replica leads under its lease.
 * @example
 * ```ts
 * const guard = () => checkBatch(record, holdsLease);
 * ```
 */
export function checkBatch(
  { isOpen }: Pick<BatchRecord, "isOpen">,
  holdsLease: () => boolean,
): WithheldReason | undefined {
  if (!holdsLease()) return WithheldReason.NotLeading;
  return isOpen ? undefined : WithheldReason.BatchEnded;
}
