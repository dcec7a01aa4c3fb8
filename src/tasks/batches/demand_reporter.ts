/** Reports the demand of services to control, which orders targets by it. */
import type { ServiceDemand } from "../../core/batches/mod.ts";
import { FleetRole } from "../../core/fleet/mod.ts";
import type { FleetNode } from "../fleet/fleet_node.ts";
import { DEMAND_METHOD } from "./batch_port.ts";

/** Time allowed for the reply of the control leader. */
const DEMAND_TIMEOUT_MS = 800;

/**
 * Sends demands to the control leader; a lost report is replaced by the next.
 *
 * @example
 * ```ts
 * reportDemands(node, runner.takeDemand());
 * ```
 */
export function reportDemands(
  node: Pick<FleetNode, "requestLeader" | "logger">,
  demands: readonly ServiceDemand[],
): void {
  for (const demand of demands) {
    node.requestLeader(FleetRole.Control, DEMAND_METHOD, {
      params: demand,
      timeoutMs: DEMAND_TIMEOUT_MS,
    }).catch((err) =>
      node.logger.event("policyUnconfirmed", {
        reason: (err as Error).message,
      })
    );
  }
}
