/** Repetition of work on a store whose disk cannot be used for a time. */
import { setTimeout as sleep } from "node:timers/promises";
import { isPassingStorageError } from "../storage/mod.ts";

/** Options of {@link untilStored}. */
export interface StoreRetryOptions<T> {
  /** Work to repeat; each time, it begins anew. */
  readonly work: () => Promise<T>;
  /** Checks whether the work is no longer wanted. */
  readonly isStopped: () => boolean;
  /** Called at the first failure and at intervals while they go on. */
  readonly onFailing: (detail: string, failedMs: number) => void;
}

/** Delay after a failure of the disk, which is often short. */
export const DISK_RETRY_DELAY_MS = 500;
const REPORT_INTERVAL_MS = 30_000;

/**
 * Repeats work on a store until the disk can be used.
 * @throws Error of the work, if waiting does not make the disk usable or the
 *     work is no longer wanted.
 *
 * @example
 * ```ts
 * const store = await untilStored({ work: () => open(folder), ...handlers });
 * ```
 */
export async function untilStored<T>(
  { work, isStopped, onFailing }: StoreRetryOptions<T>,
): Promise<T> {
  const startedAt = performance.now();
  let reportedAt = -Infinity;
  for (;;) {
    try {
      return await work();
    } catch (err) {
      if (isStopped() || !isPassingStorageError(err)) throw err;
      const now = performance.now();
      if (now - reportedAt >= REPORT_INTERVAL_MS) {
        reportedAt = now;
        onFailing(String(err), Math.round(now - startedAt));
      }
    }
    await sleep(DISK_RETRY_DELAY_MS);
  }
}
