/**
 * Exit codes of the command line.
 */
export const Exit = {
  done: 0,
  /** The command line was wrong. */
  usage: 1,
  /** A document or a value is not allowed; nothing was published. */
  invalid: 2,
  /** Another operator's change came first; nothing was published. */
  raced: 3,
  /** It cannot be told whether the change was published. */
  unknown: 4,
  /** The platform cannot be reached; nothing was published. */
  unreachable: 5,
  /** Published, and not yet in force everywhere within the time asked for. */
  pending: 6,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof Exit)[keyof typeof Exit];
