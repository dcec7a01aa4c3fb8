/** Pauses of tasks. */

/**
 * Waits for a time on the global timer, which tests can replace.
 *
 * @param ms - Time to wait, in milliseconds.
 * @example
 * ```ts
 * await delay(60);
 * ```
 */
export function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
