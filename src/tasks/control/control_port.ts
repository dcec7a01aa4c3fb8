/** Interface to the control log. */
import type {
  CommandResult,
  ControlCommand,
  ControlState,
} from "../../core/control/mod.ts";
import type { LedgerView } from "../../core/views/mod.ts";
import type { InForceStatus } from "../../core/feed/mod.ts";

/** Called for each command that this instance has applied. */
export type AppliedListener = (
  command: ControlCommand,
  result: CommandResult,
) => void;

/** Called when the state has been replaced by a snapshot. */
export type RestoredListener = (state: ControlState) => void;

/** Access to the control log. */
export interface ControlPort {
  /** State after the last command applied by this instance. */
  readonly state: ControlState;
  /**
   * Proposes a command and waits until this instance has applied it.
   * @throws RefusalError if the log's leader cannot be reached.
   */
  propose(command: ControlCommand): Promise<CommandResult>;
  /**
   * Waits, for a limited time, until every instance has applied all commands
   * applied by this one, or is fenced because its lease has expired.
   * @param homes - Data centres that must confirm it themselves.
   */
  awaitInForce(homes: readonly string[]): Promise<InForceStatus>;
  /** Checks whether a lease allows this instance to serve a workspace now. */
  mayServe(workspace: string): boolean;
  /** Current view of this data centre's ledger; undefined before the first. */
  readonly view: LedgerView | undefined;
  /** Adds a listener for applied commands. */
  onApplied(listener: AppliedListener): void;
  /** Adds a listener for states restored from a snapshot. */
  onRestored(listener: RestoredListener): void;
}
