/** Validates policy documents. */
import type { PolicyDocument, RoutePolicy } from "./policy_document.ts";

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
  const services = new Set(document.services.map((s) => s.name));
  return [
    ...document.routes.flatMap((route) => findRouteFaults(route, services)),
    ...findDuplicateRoutes(document.routes),
    ...findSharedKeys(document),
  ];
}

function findRouteFaults(
  route: RoutePolicy,
  services: ReadonlySet<string>,
): string[] {
  const faults: string[] = [];
  for (const { service } of route.shares) {
    if (services.has(service)) continue;
    faults.push(`Route ${route.name} names unknown service ${service}`);
  }
  const weight = route.shares.reduce((sum, share) => sum + share.weight, 0);
  if (!(weight > 0)) faults.push(`Route ${route.name} has no weight`);
  if (!(route.timeoutMs > 0)) faults.push(`Route ${route.name} has no time`);
  return faults;
}

function findDuplicateRoutes(routes: readonly RoutePolicy[]): string[] {
  const seen = new Map<string, string>();
  const faults: string[] = [];
  for (const { name, host, prefix } of routes) {
    const address = `${host.toLowerCase()}${prefix}`;
    const other = seen.get(address);
    if (other !== undefined) {
      faults.push(`Routes ${other} and ${name} share ${address}`);
    }
    seen.set(address, name);
  }
  return faults;
}

function findSharedKeys(document: PolicyDocument): string[] {
  const owners = new Map<string, string>();
  const faults: string[] = [];
  for (const { name, keys } of document.workspaces) {
    for (const key of keys) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== name) {
        faults.push(`Workspaces ${owner} and ${name} share a key`);
      }
      owners.set(key, name);
    }
  }
  return faults;
}
