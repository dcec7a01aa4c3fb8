/** Refusals of what is not known. */
import { RefusalError } from "./refusal_error.ts";
import { RefusalReason } from "./refusal_reason.ts";

const UNKNOWN_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.NotFound,
  RefusalReason.KeyMissing,
  RefusalReason.KeyUnknown,
]);

/**
 * Gets whether a caller is refused since its route, key or batch is unknown.
 *
 * @example
 * ```ts
 * isUnknown(new RefusalError(RefusalReason.NotFound, Verdict.NotRun)); // true
 * ```
 */
export function isUnknown(err: unknown): err is RefusalError {
  return err instanceof RefusalError && UNKNOWN_REASONS.has(err.reason);
}
