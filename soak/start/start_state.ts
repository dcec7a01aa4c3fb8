/** A state of a machine in which an instance is started. */
import type { FleetRole } from "../../src/core/fleet/mod.ts";
import type { FleetMachine } from "../../tests/support/fleet_deployment.ts";
import type { LoopbackNet } from "../../tests/support/loopback_net.ts";
import type { StartedProcess } from "../../tests/support/process_group.ts";
import type { StartAlteration } from "./start_launcher.ts";

/** What an instance must do in a state. */
export const StartOutcome = {
  /** Serves while the state lasts. */
  Serves: "serves",
  /** Stays up, and serves after the state has passed. */
  Waits: "waits",
  /** Ends with code 1 and a line at each start until the state has passed. */
  Ends: "ends",
  /** Ends with code 0, as it was asked to. */
  Stops: "stops",
} as const;
/** What an instance must do in a state. */
export type StartOutcome = typeof StartOutcome[keyof typeof StartOutcome];

/** A machine that is brought into a state. */
export interface StartSubject {
  readonly machine: FleetMachine;
  readonly net: LoopbackNet;
  readonly random: () => number;
  /** Called before a process is ended. */
  readonly onOrdered: (process: StartedProcess) => void;
  /** Rewrites the settings without alterations. */
  readonly restoreSettings: () => void;
}

/** A state that lasts. */
export interface LastingState extends StartAlteration {
  /** Acts on the started process while the state lasts. */
  readonly during?: (
    process: StartedProcess,
    durationMs: number,
  ) => Promise<void>;
  /** Ends the state. */
  readonly pass?: () => Promise<void> | void;
}

/** A state in which an instance can be started. */
export interface StartState {
  /** States of one kind exclude each other. */
  readonly kind: "address" | "data" | "settings" | "resources" | "signal";
  readonly roles: readonly FleetRole[];
  readonly outcome: StartOutcome;
  /** Number of the event that must tell of the state; none by default. */
  readonly event?: number | undefined;
  /** Whether the process before runs on until the state passes. */
  readonly keepsPrevious?: boolean;
  begin(subject: StartSubject): Promise<LastingState> | LastingState;
}
