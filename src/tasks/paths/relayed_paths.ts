/** The ways of an instance to targets that include other instances. */
import type { PeerHub } from "../peers/mod.ts";
import { RelayClient } from "./relay_client.ts";
import {
  type RelayOptions,
  TargetPaths,
  type TargetPathsOptions,
} from "./target_paths.ts";

/** Options of {@link createRelayedPaths}. */
export interface RelayedPathsOptions
  extends
    Omit<TargetPathsOptions, "relays">,
    Pick<RelayOptions, "logger" | "metrics"> {
  readonly hub: Pick<PeerHub, "dialTunnel">;
  /** Finds the instances that may relay, best first. */
  readonly findRelays: () => Promise<readonly string[]>;
  /** Called when this instance has lost all targets, or no longer. */
  readonly onCutOffChanged: (isCutOff: boolean) => void;
}

/**
 * Creates the ways to targets, directly and through other instances.
 *
 * @example
 * ```ts
 * const findRelays = () => finder.find();
 * const paths = createRelayedPaths({ ...options, hub, findRelays });
 * const connections = new TargetConnections({ paths, idleTimeoutMs: 3_000 });
 * ```
 */
export function createRelayedPaths(options: RelayedPathsOptions): TargetPaths {
  const { hub, findRelays, logger, metrics, onCutOffChanged } = options;
  const { connectTimeoutMs, dial } = options;
  return new TargetPaths({
    connectTimeoutMs,
    dial,
    relays: {
      client: new RelayClient({ hub, findRelays }),
      logger,
      metrics,
      onCutOffChanged,
    },
  });
}
