/** Whether the items of a batch may be sent. */
import type { BatchRecord } from "../../core/batches/mod.ts";
import { WithheldReason } from "../send_guard.ts";

/**
 * Gets why nothing of a batch may be sent; undefined if it may.
 * @param canRunItems - Gets whether this replica may run items.
 * @example
 * ```ts
 * const guard = () => checkBatch(record, canRunItems);
 * ```
 */
export function checkBatch(
  { isOpen }: Pick<BatchRecord, "isOpen">,
  canRunItems: () => boolean,
): WithheldReason | undefined {
  if (!canRunItems()) return WithheldReason.NotLeading;
  return isOpen ? undefined : WithheldReason.BatchEnded;
}
