/** Which instances may open connections to targets for others. */
import type { Presence } from "../peers/mod.ts";

/** Maximum number of instances that are named to one that needs a relay. */
export const MAX_RELAY_CANDIDATES = 6;

/** Gets whether an instance is present, does not drain and reaches targets. */
export function mayRelay(presence: Presence | undefined): boolean {
  return presence?.isDraining === false && presence.isCutOff !== true;
}
