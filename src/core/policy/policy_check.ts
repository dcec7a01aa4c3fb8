/** Validates policy documents. */
import type { PolicyDocument, RoutePolicy } from "./policy_document.ts";
import type { PolicyPath } from "./policy_finding.ts";

/** A reason to refuse a document, with the value that is at fault. */
export interface PolicyFault {
  readonly path: PolicyPath;
  readonly reason: string;
}

/**
 * Gets all faults of a document; empty if it is valid.
 *
 * @example
 * ```ts
 * const faults = findPolicyFaults(document);
 * if (faults.length > 0) return refuse(faults);
 * ```
 */
export function findPolicyFaults(document: PolicyDocument): string[] {
  return locatePolicyFaults(document).map(({ reason }) => reason);
}

/**
 * Gets all faults of a document with their paths; empty if it is valid.
 *
 * @example
 * ```ts
 * locatePolicyFaults(document)[0].path; // ["routes", 0, "timeoutMs"]
 * ```
 */
export function locatePolicyFaults(document: PolicyDocument): PolicyFault[] {
  const services = new Set(document.services.map((s) => s.name));
  return [
    ...document.routes.flatMap((route, i) =>
      findRouteFaults(route, ["routes", i], services)
    ),
    ...findDuplicateRoutes(document.routes),
    ...findSharedKeys(document),
  ];
}

function findRouteFaults(
  route: RoutePolicy,
  path: PolicyPath,
  services: ReadonlySet<string>,
): PolicyFault[] {
  const faults: PolicyFault[] = [];
  route.shares.forEach(({ service }, i) => {
    if (services.has(service)) return;
    faults.push({
      path: [...path, "shares", i, "service"],
      reason: `Route ${route.name} names unknown service ${service}`,
    });
  });
  const weight = route.shares.reduce((sum, share) => sum + share.weight, 0);
  if (!(weight > 0)) {
    const reason = `Route ${route.name} has no weight`;
    faults.push({ path: [...path, "shares"], reason });
  }
  if (!(route.timeoutMs > 0)) {
    const reason = `Route ${route.name} has no time`;
    faults.push({ path: [...path, "timeoutMs"], reason });
  }
  return faults;
}

function findDuplicateRoutes(routes: readonly RoutePolicy[]): PolicyFault[] {
  const seen = new Map<string, string>();
  const faults: PolicyFault[] = [];
  routes.forEach(({ name, host, prefix }, i) => {
    const address = `${host.toLowerCase()}${prefix}`;
    const other = seen.get(address);
    if (other !== undefined) {
      faults.push({
        path: ["routes", i],
        reason: `Routes ${other} and ${name} share ${address}`,
      });
    }
    seen.set(address, name);
  });
  return faults;
}

function findSharedKeys(document: PolicyDocument): PolicyFault[] {
  const owners = new Map<string, string>();
  const faults: PolicyFault[] = [];
  document.workspaces.forEach(({ name, keys }, i) => {
    keys.forEach((key, j) => {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== name) {
        faults.push({
          path: ["workspaces", i, "keys", j],
          reason: `Workspaces ${owner} and ${name} share a key`,
        });
      }
      owners.set(key, name);
    });
  });
  return faults;
}
