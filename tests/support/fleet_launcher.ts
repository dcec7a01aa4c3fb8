/** How the processes of a fleet are started. */
import type { FleetMachine } from "./fleet_deployment.ts";
import type { ProcessGroup, StartedProcess } from "./process_group.ts";

/** Ports of all machines. */
export interface FleetPorts {
  readonly peers: number;
  readonly callers: number;
  readonly readiness: number;
  readonly control: number;
  readonly metrics: number;
}

/** A process to start. */
export interface LaunchInput {
  readonly machine: FleetMachine;
  /** Path of its settings. */
  readonly file: string;
  /** Addresses of the first control instances. */
  readonly seeds: readonly string[];
  readonly isFirstStart: boolean;
  readonly receiver: string | undefined;
  /** Group that owns the process. */
  readonly group: ProcessGroup;
}

/** Writes settings and starts processes in its own way, on its own ports. */
export interface FleetLauncher {
  readonly ports: FleetPorts;
  launch(input: LaunchInput): StartedProcess;
}
