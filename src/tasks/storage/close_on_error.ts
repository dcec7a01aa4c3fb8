/** Release of what an operation opened before it failed. */

/**
 * Runs work on something open, and closes that if the work fails.
 * @throws Error of the work.
 *
 * @example
 * ```ts
 * await closeOnError(handle, () => handle.sync());
 * ```
 */
export async function closeOnError(
  opened: { close(): Promise<void> },
  work: () => Promise<void>,
): Promise<void> {
  try {
    await work();
  } catch (err) {
    await opened.close().catch(() => {});
    throw err;
  }
}
