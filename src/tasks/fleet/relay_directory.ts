/** Entry instances through which others may reach targets. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FleetRole } from "../../core/fleet/mod.ts";
import { chooseRelays } from "../../core/paths/mod.ts";
import { MAX_RELAY_CANDIDATES, mayRelay } from "../paths/mod.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Creates a source of random numbers from 0 to 1. */
export function createRandom(): () => number {
  const generator = xoroshiro128plus(process.pid ^ Date.now());
  return () => uniformFloat64(generator);
}

/**
 * Finds entry instances that reach targets and do not drain, best first.
 * @param from - The instance that asks, which is linked to this one.
 */
export function findRelays(
  node: FleetNode,
  from: string,
  random: () => number,
): readonly string[] {
  const { hub } = node;
  const candidates = node.linkedMembers(FleetRole.Entry)
    .filter(({ id }) => id !== from && mayRelay(hub.getPresence(id)))
    .map(({ id, member }) => ({ id, dataCentre: member.dataCentre }));
  return chooseRelays({
    candidates,
    dataCentre: hub.getPresence(from)?.member?.dataCentre ?? "",
    count: MAX_RELAY_CANDIDATES,
    random,
  });
}
