/** Identity of a caller of batches. */
import { isUnknown, type RefusalError } from "../../core/verdict/mod.ts";

/** Who a caller is, by the key that it brought. */
export interface CallerIdentity {
  /** Workspace of the key; `NO_WORKSPACE` if the caller brought no known one. */
  readonly workspace: string;
  /**
   * Refusal of a caller who brought no known key, for what is not open to it;
   * undefined if it brought one, or if there are no keys.
   */
  readonly refusal: RefusalError | undefined;
}

/**
 * Sends a request for a caller. One without a known key is not told whether what
 * it names exists.
 * @throws RefusalError of the request, or the caller's own.
 * @example
 * ```ts
 * await requestAs(caller, (workspace) => readBatch({ workspace, batch }));
 * ```
 */
export async function requestAs<T>(
  { workspace, refusal }: CallerIdentity,
  request: (workspace: string) => Promise<T>,
): Promise<T> {
  try {
    return await request(workspace);
  } catch (err) {
    throw refusal !== undefined && isUnknown(err) ? refusal : err;
  }
}
