/** Logging of registered targets. */
import type { TargetReport } from "../../core/registry/mod.ts";
import type { Logger } from "../../logging/mod.ts";

/**
 * Logs the states of targets after changes that came together: one line, also
 * for all targets of a fleet.
 */
export function logTargetsChanged(
  logger: Logger,
  reports: readonly TargetReport[],
): void {
  const [first, ...others] = reports;
  if (first === undefined) return;
  if (others.length === 0) logTargetChanged(logger, first);
  else logger.event("targetsChanged", { targets: reports.map(describe) });
}

function describe(report: TargetReport): string {
  const { id, service, address, state, incarnation, sequence } = report;
  const { software = "", versions } = report;
  return [
    id,
    service,
    address,
    state,
    incarnation,
    sequence,
    software,
    JSON.stringify(versions),
  ].join(" ");
}

/** Logs the state of a target after a change. */
export function logTargetChanged(logger: Logger, report: TargetReport): void {
  logger.event("targetChanged", {
    target: report.id,
    service: report.service,
    address: report.address,
    state: report.state,
    incarnation: report.incarnation,
    sequence: report.sequence,
    software: report.software,
    versions: JSON.stringify(report.versions),
  });
}
