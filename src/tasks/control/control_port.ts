/** What the other tasks need of the control log. */
import type {
  CommandAnswer,
  ControlCommand,
  ControlState,
} from "../../core/control/mod.ts";

/** Hears of each command that has been applied on this instance. */
export type AppliedListener = (
  command: ControlCommand,
  answer: CommandAnswer,
) => void;

/** Access to the control log. */
export interface ControlPort {
  /** State as far as it has been applied on this instance. */
  readonly state: ControlState;
  /**
   * Proposes a command and waits until it is committed and applied.
   * @throws RefusalError where the log cannot be reached.
   */
  propose(command: ControlCommand): Promise<CommandAnswer>;
  /** Adds a listener. */
  onApplied(listener: AppliedListener): void;
}
