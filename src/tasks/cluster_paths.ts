/** Paths to targets of an instance that has settings for its peers. */
import { chooseRelays } from "../core/paths/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Cluster } from "./cluster.ts";
import {
  createRelayedPaths,
  MAX_RELAY_CANDIDATES,
  mayRelay,
  TargetPaths,
} from "./paths/mod.ts";
import type { PeerHub } from "./peers/mod.ts";
import { createRandom } from "./random.ts";
import { CONNECT_TIMEOUT_MS } from "./targets/mod.ts";

/** Options of {@link createClusterPaths}. */
export interface ClusterPathsOptions {
  /** Undefined for an instance without peers. */
  readonly cluster: Cluster | undefined;
  /** Data centre of the instance. */
  readonly dataCentre: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Creates the paths to targets: its own connections, and relays by its peers.
 */
export function createClusterPaths(options: ClusterPathsOptions): TargetPaths {
  const { cluster, dataCentre, logger, metrics } = options;
  const connectTimeoutMs = CONNECT_TIMEOUT_MS;
  if (cluster === undefined) return new TargetPaths({ connectTimeoutMs });
  const random = createRandom();
  return createRelayedPaths({
    connectTimeoutMs,
    hub: cluster.hub,
    findRelays: () =>
      Promise.resolve(findRelays(cluster.hub, { dataCentre, random })),
    logger,
    metrics,
    onCutOffChanged: (isCutOff) => cluster.setCutOff(isCutOff),
  });
}

/** Finds the present peers that reach targets and do not drain. */
function findRelays(
  hub: PeerHub,
  options: { readonly dataCentre: string; readonly random: () => number },
): string[] {
  const candidates = hub.presentIds.flatMap((id) => {
    const peer = hub.getPeer(id);
    const isEligible = peer !== undefined && mayRelay(hub.getPresence(id));
    return isEligible ? [peer] : [];
  });
  return chooseRelays({ ...options, candidates, count: MAX_RELAY_CANDIDATES });
}
