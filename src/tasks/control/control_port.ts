/** What the other tasks need of the control log. */
import type {
  CommandAnswer,
  ControlCommand,
  ControlState,
} from "../../core/control/mod.ts";
import type { LedgerView } from "../../core/views/mod.ts";
import type { ForceAnswer } from "../../core/feed/mod.ts";

/** Hears of each command that has been applied on this instance. */
export type AppliedListener = (
  command: ControlCommand,
  answer: CommandAnswer,
) => void;

/** Hears that the state has been replaced as a whole. */
export type RestoredListener = (state: ControlState) => void;

/** Access to the control log. */
export interface ControlPort {
  /** State as far as it has been applied on this instance. */
  readonly state: ControlState;
  /**
   * Proposes a command and waits until it is applied on this instance.
   * @throws RefusalError where the log cannot be reached.
   */
  propose(command: ControlCommand): Promise<CommandAnswer>;
  /**
   * Waits until all that is applied here is in force everywhere, for a time.
   * @param homes - Data centres that must confirm it themselves.
   */
  awaitForce(homes: readonly string[]): Promise<ForceAnswer>;
  /** Gets whether requests of a workspace may be served here now. */
  mayServe(workspace: string): boolean;
  /** Gets the view of this data centre's ledger. */
  readonly view: LedgerView | undefined;
  /** Adds a listener for commands. */
  onApplied(listener: AppliedListener): void;
  /** Adds a listener for states that replace the whole. */
  onRestored(listener: RestoredListener): void;
}
