/** Compares a policy document with the one in force. */
import { findChangedMembers } from "../control/section_digest.ts";
import type { PolicyDocument } from "./policy_document.ts";

/** Entries of a section that differ, by name. */
export interface SectionDifference {
  readonly added: readonly string[];
  readonly removed: readonly string[];
  /** Entries in both documents, with the fields that differ. */
  readonly changed: readonly {
    readonly name: string;
    readonly fields: readonly string[];
  }[];
}

/** Numbers of keys of a workspace that differ; the keys are left out. */
export interface KeyDifference {
  readonly workspace: string;
  readonly added: number;
  readonly withdrawn: number;
}

/** Differences between the document in force and the next one. */
export interface PolicyDifference {
  readonly revision: {
    readonly inForce: number;
    readonly next: number;
    /** Whether the next document would take effect. */
    readonly isNewer: boolean;
  };
  readonly routes: SectionDifference;
  readonly services: SectionDifference;
  readonly workspaces: SectionDifference;
  readonly keys: readonly KeyDifference[];
  /** Names of the limits for callers that differ. */
  readonly limits: readonly string[];
}

interface Named {
  readonly name: string;
}

/**
 * Gets the differences between two documents, without any key.
 *
 * @example
 * ```ts
 * comparePolicies(inForce, next).routes.added; // ["plans"]
 * ```
 */
export function comparePolicies(
  inForce: PolicyDocument,
  next: PolicyDocument,
): PolicyDifference {
  return {
    revision: {
      inForce: inForce.revision,
      next: next.revision,
      isNewer: next.revision > inForce.revision,
    },
    routes: compareSections(inForce.routes, next.routes),
    services: compareSections(inForce.services, next.services),
    workspaces: compareSections(
      inForce.workspaces.map(({ keys: _, ...rest }) => rest),
      next.workspaces.map(({ keys: _, ...rest }) => rest),
    ),
    keys: compareKeys(inForce, next),
    limits: findChangedMembers(inForce.limits, next.limits),
  };
}

/** Compares entries of the same name in their order. */
function compareSections(
  from: readonly Named[],
  to: readonly Named[],
): SectionDifference {
  const left = indexByName(from);
  const right = indexByName(to);
  const added = [...right].filter(([id]) => !left.has(id));
  const removed = [...left].filter(([id]) => !right.has(id));
  const changed = [...right].flatMap(([id, entry]) => {
    const previous = left.get(id);
    if (previous === undefined) return [];
    const fields = findChangedMembers(previous, entry);
    return fields.length === 0 ? [] : [{ name: entry.name, fields }];
  });
  return {
    added: added.map(([, { name }]) => name),
    removed: removed.map(([, { name }]) => name),
    changed,
  };
}

/** Names need not be unique, so entries are distinguished by number too. */
function indexByName<T extends Named>(entries: readonly T[]): Map<string, T> {
  const counts = new Map<string, number>();
  return new Map(entries.map((entry) => {
    const count = (counts.get(entry.name) ?? 0) + 1;
    counts.set(entry.name, count);
    return [JSON.stringify([entry.name, count]), entry];
  }));
}

function compareKeys(
  inForce: PolicyDocument,
  next: PolicyDocument,
): KeyDifference[] {
  const from = keysByWorkspace(inForce);
  const to = keysByWorkspace(next);
  return [...new Set([...from.keys(), ...to.keys()])].flatMap((workspace) => {
    const left = from.get(workspace) ?? new Set();
    const right = to.get(workspace) ?? new Set();
    const added = [...right].filter((key) => !left.has(key)).length;
    const withdrawn = [...left].filter((key) => !right.has(key)).length;
    if (added + withdrawn === 0) return [];
    return [{ workspace, added, withdrawn }];
  });
}

function keysByWorkspace(
  { workspaces }: PolicyDocument,
): Map<string, Set<string>> {
  const found = new Map<string, Set<string>>();
  for (const { name, keys } of workspaces) {
    const owned = found.get(name) ?? new Set();
    for (const key of keys) owned.add(key);
    found.set(name, owned);
  }
  return found;
}
