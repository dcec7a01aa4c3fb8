/** Options shared by the control log and the ledger. */
import type { LogEnvelope } from "../peers/mod.ts";
import type { FleetNode } from "./fleet_node.ts";
import { FLEET_CONSENSUS_TIMING } from "./fleet_timing.ts";

/** Creates the options of a log that come from its instance. */
export function createLogOptions(node: FleetNode, name: string) {
  return {
    name,
    id: node.settings.id,
    times: FLEET_CONSENSUS_TIMING,
    logger: node.logger,
    metrics: node.metrics,
    send: (to: string, message: unknown) =>
      node.sendLog(to, {
        log: name,
        message: message as LogEnvelope["message"],
      }),
    keepLink: (id: string) => void node.hub.keepLink(id),
  };
}
