/** Time until which a target is cold, on the local clock. */
import type { TargetReport } from "./target_report.ts";

/**
 * Time added to a reported cold time. Reports that only count down arrive with
 * varying delays; within this margin they do not change the end.
 */
export const COLD_MARGIN_MS = 100;
/**
 * Time by which a report must bring the end forward to change it. A report of
 * a target that becomes warm early is rare, one that arrived late is not.
 */
const EARLIER_END_MS = 500;

/**
 * Time after a response named a cold time within which a report cannot shorten
 * it: the report may have been sent earlier. Targets resend a heartbeat that
 * takes longer, under a new number.
 */
const LATE_REPORT_MS = 1_000;

/** What is known of the cold time of a target's incarnation, local clock. */
export interface ColdTime {
  /** Time until which it is cold; undefined or past if it is not. */
  readonly coldUntil?: number | undefined;
  /** Time at which a response or an order last extended the cold time. */
  readonly extendedAt?: number | undefined;
  /**
   * Time at which it was first reported beside other serving targets of its
   * service; undefined if it was the first.
   */
  readonly joinedAt?: number | undefined;
}

/** Input of {@link mergeColdUntil}. */
export interface ColdTimeInput {
  /** Known end; undefined if the target was not cold. */
  readonly coldUntil: number | undefined;
  /** Time at which a response or an order last extended it. */
  readonly extendedAt?: number | undefined;
  /** Cold time of the newest report; undefined if it names none. */
  readonly coldMs: number | undefined;
  /** Time at which that report arrived. */
  readonly now: number;
}

/**
 * Gets the end of a target's cold time after a newer report. A report takes time
 * to arrive, so its end is never earlier than the target's own.
 *
 * @example
 * ```ts
 * mergeColdUntil({ coldUntil: undefined, coldMs: 3_000, now: 500 }); // 3_600
 * ```
 */
export function mergeColdUntil(input: ColdTimeInput): number | undefined {
  const { coldUntil, extendedAt = -Infinity, now } = input;
  const reported = reportedEndOf(input);
  const mayBeLate = now - extendedAt < LATE_REPORT_MS;
  if (!mayBeLate || coldUntil === undefined) return reported;
  return Math.max(coldUntil, reported ?? -Infinity);
}

function reportedEndOf(
  { coldUntil, coldMs, now }: ColdTimeInput,
): number | undefined {
  if (coldMs === undefined) return coldUntil;
  if (coldMs === 0) {
    const isAboutToEnd = (coldUntil ?? now) <= now + COLD_MARGIN_MS;
    return isAboutToEnd ? coldUntil : undefined;
  }
  const end = now + coldMs;
  const isCovered = coldUntil !== undefined && end <= coldUntil &&
    end >= coldUntil - EARLIER_END_MS;
  return isCovered ? coldUntil : end + COLD_MARGIN_MS;
}

/**
 * Gets the cold time that a report names. A target that has named cold times
 * omits them when it is warm.
 */
export function coldMsOf(
  report: TargetReport,
  current: TargetReport | undefined,
): number | undefined {
  const hasNamed = current?.incarnation === report.incarnation &&
    current.coldMs !== undefined;
  return report.coldMs ?? (hasNamed ? 0 : undefined);
}

/**
 * Gets a target's report with the cold time that is left, for instances that
 * receive it later than this one has.
 */
export function reportAt(
  { report, coldUntil }: ColdTime & { readonly report: TargetReport },
  now: number,
): TargetReport {
  if (coldUntil === undefined || report.coldMs === undefined) return report;
  const coldMs = coldUntil <= now
    ? 0
    : Math.max(1, coldUntil - COLD_MARGIN_MS - now);
  return { ...report, coldMs };
}
