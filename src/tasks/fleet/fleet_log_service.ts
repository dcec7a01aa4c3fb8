/** The replicated control log of a fleet. */
import { instanceOf } from "../../core/consensus/mod.ts";
import {
  type FleetCommand,
  type FleetCommandResult,
  type FleetSnapshot,
  FleetState,
  wantedVoters,
} from "../../core/fleet/mod.ts";
import { LogService } from "../log/mod.ts";
import { createLogOptions } from "./fleet_log.ts";
import type { FleetNode } from "./fleet_node.ts";

/** Service of a replica of the control log. */
export type FleetLogService = LogService<
  FleetCommand,
  FleetSnapshot,
  FleetCommandResult,
  FleetState
>;

/** Options of {@link createFleetLogService}. */
export interface FleetLogServiceOptions {
  readonly node: FleetNode;
  readonly dataFolder: string;
  readonly now: () => number;
  /** Gets the replicas that are reachable now, with this one. */
  readonly presentReplicas: () => string[];
  readonly onApplied: (
    command: FleetCommand,
    result: FleetCommandResult,
  ) => void;
  readonly onRestored: () => void;
  readonly onRole: (isLeader: boolean) => void;
}

/** Name of the control log and of its folder. */
export const FLEET_LOG = "fleet";

/** Creates the service; its log opens when its driver starts. */
export function createFleetLogService(
  options: FleetLogServiceOptions,
): FleetLogService {
  const { node, presentReplicas } = options;
  const { settings, hub } = node;
  const service: FleetLogService = new LogService({
    ...createLogOptions(node, FLEET_LOG),
    ...options,
    createState: () => new FleetState(),
    wantedVoters: () => {
      const members = service.driver.node?.members.voters.length ?? 0;
      return wantedVoters(Math.max(presentReplicas().length, members));
    },
    isLost: (replica) =>
      hub.absentMs(instanceOf(replica)) > settings.times.contactMs &&
      instanceOf(replica) !== settings.id,
  });
  return service;
}
