/** Helpers for attempts that run at the same time. */

/** State of a promise after a time. */
export type SettledResult<T> =
  | { readonly isSettled: true; readonly value: T }
  | { readonly isSettled: false };

/**
 * Waits for a promise for some time.
 *
 * @example
 * ```ts
 * const { isSettled } = await settleWithin(response, 50);
 * ```
 */
export async function settleWithin<T>(
  promise: Promise<T>,
  timeoutMs: number,
): Promise<SettledResult<T>> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<SettledResult<T>>((resolve) => {
    timer = setTimeout(() => resolve({ isSettled: false }), timeoutMs);
  });
  const settled = promise.then((value) =>
    ({ isSettled: true, value }) as const
  );
  try {
    return await Promise.race([settled, timeout]);
  } finally {
    clearTimeout(timer);
  }
}

/** Gets the first defined value; undefined if all promises end without one. */
export function firstDefined<T>(
  promises: readonly Promise<T | undefined>[],
): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    let pending = promises.length;
    if (pending === 0) resolve(undefined);
    for (const promise of promises) {
      promise.then((value) => {
        pending -= 1;
        if (value !== undefined || pending === 0) resolve(value);
      }, reject);
    }
  });
}
