/** In-memory control log of a system with a single instance. */
import {
  type CommandResult,
  type ControlCommand,
  ControlState,
} from "../../core/control/mod.ts";
import type { LedgerView } from "../../core/views/mod.ts";
import type { InForceStatus } from "../../core/feed/mod.ts";
import type { AppliedListener, ControlPort } from "./control_port.ts";

/**
 * Applies commands immediately; they are lost on a restart.
 *
 * @example
 * ```ts
 * const control = new LocalControl();
 * await control.propose({ type: "withdrawKey", id: "artis-1" });
 * ```
 */
export class LocalControl implements ControlPort {
  readonly state = new ControlState();
  /** Always undefined: a single instance has no ledger view. */
  readonly view: LedgerView | undefined = undefined;
  readonly #listeners: AppliedListener[] = [];

  propose(command: ControlCommand): Promise<CommandResult> {
    const result = this.state.apply(command);
    for (const listener of this.#listeners) listener(command, result);
    return Promise.resolve(result);
  }

  /** Resolves at once: there is no other instance to wait for. */
  awaitInForce(): Promise<InForceStatus> {
    return Promise.resolve({ isInForce: true, awaited: [] });
  }

  /** Returns true for every workspace. */
  mayServe(): boolean {
    return true;
  }

  /** Adds a listener for applied commands. */
  onApplied(listener: AppliedListener): void {
    this.#listeners.push(listener);
  }

  /** Ignores the listener: the state is never restored from a snapshot. */
  onRestored(): void {}
}
