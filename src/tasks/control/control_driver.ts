/** Replica of the control log. */
import {
  type CommandResult,
  type ControlCommand,
  type ControlSnapshot,
  ControlState,
} from "../../core/control/mod.ts";
import { LogDriver, type LogDriverOptions } from "../log/mod.ts";

/** Name of the control log and of its folder. */
export const CONTROL_LOG = "control";

/** Driver of a replica of the control log. */
export type ControlDriver = LogDriver<
  ControlCommand,
  ControlSnapshot,
  CommandResult,
  ControlState
>;

type ControlDriverOptions = Omit<
  LogDriverOptions<
    ControlCommand,
    ControlSnapshot,
    CommandResult,
    ControlState
  >,
  "name" | "createState"
>;

/** Creates a replica of the control log; call `start` to run it. */
export function createControlDriver(
  options: ControlDriverOptions,
): ControlDriver {
  return new LogDriver({
    ...options,
    name: CONTROL_LOG,
    createState: () => new ControlState(),
  });
}
