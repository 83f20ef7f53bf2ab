/** Exit codes of every command. */

/** Why a command ended. */
export const ExitCode = {
  OK: 0,
  /** A check found something, or a wait ended unmet. */
  FAILED: 1,
  /** The command's words or its input are wrong. */
  USAGE: 2,
  /** Another operator's change came first. */
  CONFLICT: 3,
  /** The platform or a process did not answer. */
  UNAVAILABLE: 4,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
