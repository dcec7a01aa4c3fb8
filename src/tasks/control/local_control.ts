/** The control log of a system of one instance, kept in memory. */
import {
  type CommandAnswer,
  type ControlCommand,
  ControlState,
} from "../../core/control/mod.ts";
import type { LedgerView } from "../../core/views/mod.ts";
import type { ForceAnswer } from "../../core/feed/mod.ts";
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
  /** Undefined: the ledger is this instance's own. */
  readonly view: LedgerView | undefined = undefined;
  readonly #listeners: AppliedListener[] = [];

  /** Applies a command. */
  propose(command: ControlCommand): Promise<CommandAnswer> {
    const answer = this.state.apply(command);
    for (const listener of this.#listeners) listener(command, answer);
    return Promise.resolve(answer);
  }

  /** Gets that all is in force: there is no other instance. */
  awaitForce(): Promise<ForceAnswer> {
    return Promise.resolve({ isInForce: true, awaited: [] });
  }

  /** Gets that every workspace may be served. */
  mayServe(): boolean {
    return true;
  }

  /** Adds a listener for commands. */
  onApplied(listener: AppliedListener): void {
    this.#listeners.push(listener);
  }

  /** Never calls the listener: the state is not replaced. */
  onRestored(): void {}
}
