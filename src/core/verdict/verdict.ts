/** Verdict on whether a target may have executed a request. */

/** Whether a target may have executed a request. */
export const Verdict = {
  /** The request cannot have reached a target, not even in part. */
  NotRun: "notRun",
  /** A target may have executed the request, completely or in part. */
  MayHaveRun: "mayHaveRun",
  /** A target has executed the request. */
  Ran: "ran",
} as const;

/** One of the values of {@link Verdict}. */
export type Verdict = typeof Verdict[keyof typeof Verdict];

/**
 * Order of the verdicts, by how certain it is that the request was executed.
 */
const VERDICT_RANK: Readonly<Record<Verdict, number>> = {
  notRun: 0,
  mayHaveRun: 1,
  ran: 2,
};

/**
 * Merges the verdicts of two attempts. The result is the verdict for which
 * execution is more certain.
 *
 * @example
 * ```ts
 * mergeVerdicts("notRun", "mayHaveRun"); // "mayHaveRun"
 * ```
 */
export function mergeVerdicts(a: Verdict, b: Verdict): Verdict {
  return VERDICT_RANK[a] >= VERDICT_RANK[b] ? a : b;
}
