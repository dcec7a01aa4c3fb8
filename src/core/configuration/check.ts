/** Validation of configuration documents. */
import {
  type ConfigurationDocument,
  configurationSchema,
  SECTION_NAMES,
} from "./document.ts";

/** A fault in a document. */
export interface Fault {
  /** Path of the invalid value, e.g. `routes.planner.model`. */
  readonly path: string;
  /** Reason, in sentence case and without a final period. */
  readonly reason: string;
}

/** Result of a validation: the parsed document, or all faults found. */
export type CheckResult<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly faults: readonly Fault[] };

/** Part of a zod error that {@link toFaults} needs. */
export interface SchemaIssues {
  /** Issues in document order. */
  readonly issues: readonly {
    readonly path: readonly PropertyKey[];
    readonly message: string;
    /** Names of the fields that the schema does not define. */
    readonly keys?: readonly string[];
  }[];
}

/** Converts schema issues to faults, one for each unknown field. */
export function toFaults(error: SchemaIssues): Fault[] {
  return error.issues.flatMap((issue) => {
    const path = issue.path.map(String);
    if (issue.keys === undefined || !issue.message.startsWith("Unrecognized")) {
      return [{ path: path.join("."), reason: issue.message }];
    }
    return issue.keys.map((key) => ({
      path: [...path, key].join("."),
      reason: "Unknown field",
    }));
  });
}

/**
 * Validates a document: fields, types, ranges and references between sections.
 *
 * @example
 * ```ts
 * const result = checkDocument(JSON.parse(text));
 * if (!result.ok) console.error(result.faults);
 * ```
 */
export function checkDocument(
  input: unknown,
): CheckResult<ConfigurationDocument> {
  const parsed = configurationSchema.safeParse(input);
  if (!parsed.success) return { ok: false, faults: toFaults(parsed.error) };
  const faults = [
    ...checkTeams(parsed.data),
    ...checkRoutes(parsed.data),
    ...checkReferences(parsed.data),
  ];
  if (faults.length > 0) return { ok: false, faults };
  return { ok: true, value: parsed.data };
}

function checkTeams(doc: ConfigurationDocument): Fault[] {
  const faults: Fault[] = [];
  const owners = new Map<string, string>();
  for (const [team, { sections }] of Object.entries(doc.teams)) {
    sections.forEach((section, i) => {
      const path = `teams.${team}.sections.${i}`;
      if (!(SECTION_NAMES as readonly string[]).includes(section)) {
        faults.push({ path, reason: `Unknown section ${section}` });
        return;
      }
      const owner = owners.get(section);
      if (owner !== undefined) {
        faults.push({ path, reason: `Section is owned by ${owner}` });
      }
      owners.set(section, team);
    });
  }
  return faults;
}

function checkRoutes(doc: ConfigurationDocument): Fault[] {
  const faults: Fault[] = [];
  for (const [id, route] of Object.entries(doc.routes)) {
    const path = `routes.${id}`;
    if (route.kind === "model" && route.model === undefined) {
      faults.push({ path: `${path}.model`, reason: "Model routes name one" });
    }
    if (route.model !== undefined && !(route.model in doc.models)) {
      faults.push({
        path: `${path}.model`,
        reason: `Unknown model ${route.model}`,
      });
    }
    route.workspaces?.forEach((workspace, i) => {
      if (workspace in doc.workspaces) return;
      faults.push({
        path: `${path}.workspaces.${i}`,
        reason: `Unknown workspace ${workspace}`,
      });
    });
  }
  return faults;
}

function checkReferences(doc: ConfigurationDocument): Fault[] {
  const faults: Fault[] = [];
  const dataCentres = new Set(
    Object.values(doc.zones).map((zone) => zone.dataCentre),
  );
  for (const [id, { home }] of Object.entries(doc.workspaces)) {
    if (home === undefined || dataCentres.has(home)) continue;
    faults.push({
      path: `workspaces.${id}.home`,
      reason: `No zone lies in data centre ${home}`,
    });
  }
  for (const id of Object.keys(doc.limits.workspaces)) {
    if (id in doc.workspaces) continue;
    faults.push({
      path: `limits.workspaces.${id}`,
      reason: `Unknown workspace ${id}`,
    });
  }
  for (const id of Object.keys(doc.staleness)) {
    if (id in doc.models) continue;
    faults.push({ path: `staleness.${id}`, reason: `Unknown model ${id}` });
  }
  for (const [id, { minTargets, maxTargets }] of Object.entries(doc.capacity)) {
    if (!(id in doc.models)) {
      faults.push({ path: `capacity.${id}`, reason: `Unknown model ${id}` });
    }
    if (minTargets <= maxTargets) continue;
    faults.push({
      path: `capacity.${id}.minTargets`,
      reason: "Expected at most maxTargets",
    });
  }
  return faults;
}
