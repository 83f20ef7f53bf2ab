/** Exit codes of all commands. */

/** Exit codes; `EXIT_CODES_HELP` explains them to operators. */
export const ExitCode = {
  OK: 0,
  /** A check has findings, or a wait timed out. */
  FAILED: 1,
  /** Invalid arguments or input. */
  USAGE: 2,
  /** Another change was applied first. */
  CONFLICT: 3,
  /** The platform or a process did not answer. */
  UNAVAILABLE: 4,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
