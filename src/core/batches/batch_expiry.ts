/** Time at which the ledger forgets a batch. */
import type { BatchRecord } from "./batch_record.ts";

/** Time added to the retention period before results are deleted. */
const EXPIRY_SLACK_MS = 30_000;

/**
 * Gets the time after which a batch is forgotten, in milliseconds since the Unix
 * epoch. One that its caller has not ended is kept until it may be abandoned, too.
 * @param keepResultsMs - Time for which results are kept.
 */
export function expiryOf(
  { spec, isEnded }: Pick<BatchRecord, "spec" | "isEnded">,
  keepResultsMs: number,
): number {
  const openMs = isEnded ? 0 : spec.giveUpMs;
  return spec.acceptedAt + EXPIRY_SLACK_MS + keepResultsMs + openMs;
}
