/** Time in which targets complete the requests that they hold. */

/** A target whose slots are in use. */
export interface FullTarget {
  readonly slots: number;
  /** Mean measured latency, in milliseconds; undefined if not measured. */
  readonly measuredMs: number | undefined;
}

/**
 * Gets the time in which full targets complete as many requests as they have
 * slots, in milliseconds; undefined if no latency is measured.
 *
 * @example
 * ```ts
 * drainMsOf([{ slots: 4, measuredMs: 500 }]); // 500
 * ```
 */
export function drainMsOf(targets: readonly FullTarget[]): number | undefined {
  let slots = 0;
  let requestsPerMs = 0;
  for (const target of targets) {
    if (target.measuredMs === undefined || target.measuredMs <= 0) continue;
    slots += target.slots;
    requestsPerMs += target.slots / target.measuredMs;
  }
  return requestsPerMs > 0 ? slots / requestsPerMs : undefined;
}
