/** Describes the findings of a check and the differences of two policies. */
import type {
  PolicyDifference,
  SectionDifference,
} from "../core/policy/mod.ts";
import type { PlacedFinding } from "./policy_checker.ts";
import type { PolicyFormat } from "./policy_format.ts";

/** Gets a finding as one line. */
export function formatFinding(finding: PlacedFinding): string {
  const { severity, code, path, message } = finding;
  return `${severity} ${path || "(document)"}: ${message} [${code}]`;
}

/** Names the changed fields of a difference as a format does. */
export function nameFields(
  difference: PolicyDifference,
  format: PolicyFormat,
): PolicyDifference {
  const rename = (section: SectionDifference): SectionDifference => ({
    ...section,
    changed: section.changed.map(({ name, fields }) => ({
      name,
      fields: fields.map((field) => format.formatField(field)),
    })),
  });
  return {
    ...difference,
    routes: rename(difference.routes),
    services: rename(difference.services),
    workspaces: rename(difference.workspaces),
  };
}

/** Gets the lines that describe a difference. */
export function formatDifference(difference: PolicyDifference): string[] {
  const { revision, keys, limits } = difference;
  const lines = [
    ...formatSection("route", difference.routes),
    ...formatSection("service", difference.services),
    ...formatSection("workspace", difference.workspaces),
    ...keys.map(({ workspace, added, withdrawn }) =>
      `keys of ${workspace}: ${added} added, ${withdrawn} withdrawn`
    ),
    ...(limits.length === 0 ? [] : [`limits changed: ${limits.join(", ")}`]),
  ];
  return [
    formatRevision(revision),
    ...(lines.length === 0 ? ["no differences"] : lines),
  ];
}

function formatRevision(
  { inForce, next, isNewer }: PolicyDifference["revision"],
): string {
  if (isNewer) return `revision ${next} replaces ${inForce}`;
  return `revision ${next} has no effect: ${inForce} is in force`;
}

function formatSection(
  kind: string,
  { added, removed, changed }: SectionDifference,
): string[] {
  return [
    ...added.map((name) => `${kind} ${name} added`),
    ...removed.map((name) => `${kind} ${name} removed`),
    ...changed.map(({ name, fields }) =>
      `${kind} ${name} changed: ${fields.join(", ")}`
    ),
  ];
}
