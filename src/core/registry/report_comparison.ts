/** Compares reports of one target. */
import { type TargetReport, TargetState } from "./target_report.ts";

/** Gets whether a report is newer than the one known of its target. */
export function isNewer(report: TargetReport, current: TargetReport): boolean {
  if (report.incarnation !== current.incarnation) {
    return report.incarnation > current.incarnation;
  }
  if (current.state === TargetState.Removed) return false;
  if (report.state === TargetState.Removed) return true;
  if (report.sequence !== current.sequence) {
    return report.sequence > current.sequence;
  }
  return report.state === TargetState.Draining &&
    current.state === TargetState.Ready;
}

/** Gets a report whose state is not older than the one known. */
export function keepLeaving(
  report: TargetReport,
  current: TargetReport | undefined,
): TargetReport {
  const isLeaving = current?.incarnation === report.incarnation &&
    current.state === TargetState.Draining &&
    report.state === TargetState.Ready;
  return isLeaving ? { ...report, state: TargetState.Draining } : report;
}

/** Gets whether two reports say the same. */
export function isSameReport(a: TargetReport, b: TargetReport): boolean {
  return isSameExceptVersions(a, b) &&
    JSON.stringify(a.versions) === JSON.stringify(b.versions);
}

/** Gets whether two reports are equal except for the weight versions. */
export function isSameExceptVersions(
  a: TargetReport,
  b: TargetReport,
): boolean {
  return a.incarnation === b.incarnation && a.state === b.state &&
    a.address === b.address && a.service === b.service &&
    a.slots === b.slots && a.isSpot === b.isSpot &&
    a.software === b.software;
}
