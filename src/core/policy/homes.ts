/** Regions in which the requests of routes and workspaces may run. */
import type {
  PolicyDocument,
  RoutePolicy,
  WorkspacePolicy,
} from "./policy_document.ts";

/** Regions in which a request may run; undefined for any, empty for none. */
export type Homes = readonly string[] | undefined;

/**
 * Gets the regions in which a request may run: those that are homes of both its
 * route and its workspace.
 *
 * @example
 * ```ts
 * homesOf({ homes: ["north", "east"] }, { homes: ["east"] }); // ["east"]
 * ```
 */
export function homesOf(
  route: Pick<RoutePolicy, "homes">,
  workspace: Pick<WorkspacePolicy, "homes"> | undefined,
): Homes {
  const [first, ...others] = listsOf([route, workspace]);
  return first?.filter((region) => others.every((k) => k.includes(region)));
}

/** Gets all lists of homes of a policy that are not empty. */
export function homeListsOf(
  { routes, workspaces }: Pick<PolicyDocument, "routes" | "workspaces">,
): (readonly string[])[] {
  return listsOf([...routes, ...workspaces]);
}

function listsOf(
  owners: readonly ({ readonly homes?: Homes } | undefined)[],
): (readonly string[])[] {
  return owners.flatMap((owner) =>
    owner?.homes === undefined || owner.homes.length === 0 ? [] : [owner.homes]
  );
}
