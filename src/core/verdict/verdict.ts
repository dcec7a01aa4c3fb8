/** The verdict: whether a failed request may have run at a target. */

/** Says whether a request may have run. */
export const Verdict = {
  /** No byte of the request can have reached a target. */
  NotRun: "notRun",
  /** A target may have run the request, wholly or in part. */
  MayHaveRun: "mayHaveRun",
  /** A target ran the request. */
  Ran: "ran",
} as const;

/** One of the values of {@link Verdict}. */
export type Verdict = typeof Verdict[keyof typeof Verdict];

const RANK: Readonly<Record<Verdict, number>> = {
  notRun: 0,
  mayHaveRun: 1,
  ran: 2,
};

/**
 * Gets the stronger of two verdicts, as over several attempts.
 *
 * @example
 * ```ts
 * mergeVerdicts("notRun", "mayHaveRun"); // "mayHaveRun"
 * ```
 */
export function mergeVerdicts(a: Verdict, b: Verdict): Verdict {
  return RANK[a] >= RANK[b] ? a : b;
}
