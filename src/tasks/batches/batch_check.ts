/** Whether the items of a batch may be sent. */
import type { BatchRecord } from "../../core/batches/mod.ts";
import { WithheldReason } from "../send_guard.ts";

/**
 * Gets why nothing of a batch may be sent; undefined if it may.
 * @param hasLease - Gets whether this replica leads and holds its lease.
 * @example
 * ```ts
 * const guard = () => checkBatch(record, hasLease);
 * ```
 */
export function checkBatch(
  { isOpen }: Pick<BatchRecord, "isOpen">,
  hasLease: () => boolean,
): WithheldReason | undefined {
  if (!hasLease()) return WithheldReason.NotLeading;
  return isOpen ? undefined : WithheldReason.BatchEnded;
}
