/** Exit codes of the program. */

/** Exit codes of the program. */
export const ExitCode = {
  /** Done. */
  Done: 0,
  /** Refused or failed. */
  Failed: 1,
  /** Wrong use. */
  Usage: 2,
} as const;

/** One of the values of {@link ExitCode}. */
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
