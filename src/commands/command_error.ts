/** Error that determines the exit code of the command line. */
import { NutmegreelError } from "../core/errors/mod.ts";
import type { ExitCode } from "./exit_code.ts";

/** Represents the end of a command with an exit code of its own. */
export class CommandError extends NutmegreelError {
  /** Code with which the process exits. */
  readonly exitCode: ExitCode;

  /**
   * Creates the error.
   * @param exitCode - Code with which the process exits.
   * @param message - Text for the operator.
   */
  constructor(exitCode: ExitCode, message: string) {
    super("command", message);
    this.exitCode = exitCode;
  }
}
