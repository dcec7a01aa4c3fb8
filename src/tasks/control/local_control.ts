/** The control log of a system of one instance, kept in memory. */
import {
  type CommandAnswer,
  type ControlCommand,
  ControlState,
} from "../../core/control/mod.ts";
import type { AppliedListener, ControlPort } from "./control_port.ts";

/**
 * Applies commands at once; nothing survives a restart.
 *
 * @example
 * ```ts
 * const control = new LocalControl();
 * await control.propose({ type: "withdrawKey", id: "artis-1" });
 * ```
 */
export class LocalControl implements ControlPort {
  /** State of the log. */
  readonly state = new ControlState();
  readonly #listeners: AppliedListener[] = [];

  /** Applies a command. */
  propose(command: ControlCommand): Promise<CommandAnswer> {
    const answer = this.state.apply(command);
    for (const listener of this.#listeners) listener(command, answer);
    return Promise.resolve(answer);
  }

  /** Adds a listener. */
  onApplied(listener: AppliedListener): void {
    this.#listeners.push(listener);
  }
}
