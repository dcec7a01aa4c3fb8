/** Exit codes of the command line. */

/** Exit codes of the command line. */
export const ExitCode = {
  /** The command succeeded. */
  Done: 0,
  /** The command was refused or failed. */
  Failed: 1,
  /** The arguments are invalid, or what they name cannot be reached. */
  Usage: 2,
  /** The document is valid, but has warnings, and `--strict` was set. */
  Warned: 3,
} as const;

/** One of the values of {@link ExitCode}. */
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
