/** Signals that abort after a time. */

/** Options of {@link withTimeout}. */
export interface TimeoutOptions {
  /** Longest time, in milliseconds. */
  readonly timeoutMs: number;
  /** Aborts earlier. */
  readonly signal: AbortSignal;
}

/**
 * Runs a function with a signal that aborts after a time, or with another one.
 *
 * In Node 20 a signal that `AbortSignal.any` makes of `AbortSignal.timeout` does
 * not keep the timeout alive: after a garbage collection it never aborts.
 *
 * @example
 * ```ts
 * const options = { timeoutMs: 1_000, signal: caller.signal };
 * const response = await withTimeout(options, (signal) => send({ signal }));
 * ```
 */
export async function withTimeout<T>(
  { timeoutMs, signal }: TimeoutOptions,
  run: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const abort = new AbortController();
  const onAbort = () => abort.abort(signal.reason);
  const timer = setTimeout(
    () => abort.abort(new DOMException("Timeout", "TimeoutError")),
    Math.ceil(timeoutMs),
  );
  if (signal.aborted) onAbort();
  else signal.addEventListener("abort", onAbort, { once: true });
  try {
    return await run(abort.signal);
  } finally {
    clearTimeout(timer);
    signal.removeEventListener("abort", onAbort);
  }
}
