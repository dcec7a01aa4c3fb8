/** Entry instances through which others may reach targets. */
import { FleetRole } from "../../core/fleet/mod.ts";
import { chooseRelays } from "../../core/paths/mod.ts";
import {
  homeListsOf,
  type PolicyDocument,
  RegionMap,
} from "../../core/policy/mod.ts";
import { MAX_RELAY_CANDIDATES, mayRelay } from "../paths/mod.ts";
import { createRandom } from "../random.ts";
import { FleetMethod } from "./fleet_method.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Serves the other instances' requests for relays. */
export function serveRelays(
  node: FleetNode,
  policy: () => PolicyDocument | undefined,
): void {
  const random = createRandom();
  node.hub.handle(
    FleetMethod.Relays,
    (_params, from) => findRelays(node, from, { policy: policy(), random }),
  );
}

/** Options of {@link findRelays}. */
export interface RelaySearchOptions {
  readonly policy: PolicyDocument | undefined;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/**
 * Finds entry instances that reach targets and do not drain, best first. While
 * the policy has homes, they are in the region of the instance that asks, or in
 * one that is a home in each list: a connection serves the calls of all routes.
 * @param from - The instance that asks, which is linked to this one.
 */
export function findRelays(
  node: FleetNode,
  from: string,
  { policy, random }: RelaySearchOptions,
): readonly string[] {
  const { hub, settings } = node;
  const candidates = node.linkedMembers(FleetRole.Entry)
    .filter(({ id }) => id !== from && mayRelay(hub.getPresence(id)))
    .map(({ id, member }) => ({ id, dataCentre: member.dataCentre }));
  const dataCentre = hub.getPresence(from)?.member?.dataCentre ?? "";
  const regions = new RegionMap(settings.regions);
  const lists = policy === undefined ? [] : homeListsOf(policy);
  return chooseRelays({
    candidates,
    dataCentre,
    mayRelay: (id) =>
      regions.isSameRegion(id, dataCentre) ||
      lists.every((homes) => regions.isWithin(id, homes)),
    count: MAX_RELAY_CANDIDATES,
    random,
  });
}
