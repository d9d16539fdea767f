/**
 * Exit codes of the command line.
 */
export const Exit = {
  done: 0,
  /** The command line is invalid. */
  usage: 1,
  /** A file or a value is invalid; nothing was published. */
  invalid: 2,
  /** Another operator's change was published first; nothing was published. */
  conflict: 3,
  /** It is unknown whether the change was published. */
  unknown: 4,
  /** The platform cannot be reached; nothing was published. */
  unreachable: 5,
  /** The change was published, but was not in force on every listed instance within the time given with --wait. */
  pending: 6,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof Exit)[keyof typeof Exit];
