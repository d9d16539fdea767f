/**
 * Decides by a second connection to a service whether the process that wrote an answer has died by its end. The
 * operating system ends all connections of a process that dies, so that one that was open before the end of the answer,
 * and still is a moment after it, shows that the process lives on.
 */
import { WriterState } from "./assertedend";
import type { Moment } from "./clock";

/** How far apart the ends of two connections of a process that dies may be, in milliseconds. */
export const WITNESS_TIMEOUT_MS = 25;

/** How much later than the other connections of a process that dies those end that it has not accepted, in milliseconds. */
export const UNACCEPTED_TIMEOUT_MS = 1;

/** What became of a connection that witnesses an answer. */
export const WitnessState = {
  open: "open",
  /** It was open, and the other side ended it. */
  ended: "ended",
  /** It was open, and was reset, as connections are that a process has not accepted by its death. */
  reset: "reset",
  /** Nothing listened. */
  refused: "refused",
  /** It was not established in time. */
  unreachable: "unreachable",
} as const;
export type WitnessState = (typeof WitnessState)[keyof typeof WitnessState];

/** What is known of a connection that witnesses an answer. */
export interface Witnessed {
  readonly state: WitnessState;
  /** Since when it is in this state. */
  readonly since: Moment;
  /** When it was established; undefined if it never was, or not for certain. */
  readonly openedAt?: Moment;
}

/**
 * Finds what is known of the process that wrote an answer.
 *
 * @param endedAt - when the end of the answer was read; it may be decided on later
 * @returns undefined if the connection failed or ended long before the answer, which has gone on since, or was only
 *   established after it and has ended, of which it tells nothing
 * @example
 * judgeWitness({ state: "ended", since: 1004, openedAt: 900 }, 1000); // "gone"
 */
export function judgeWitness(
  { state, since, openedAt = -Infinity }: Witnessed,
  endedAt: Moment,
): WriterState | undefined {
  if (state === WitnessState.open) return since <= endedAt ? WriterState.alive : WriterState.untold;
  if (openedAt > endedAt) return undefined;
  if (since < endedAt - WITNESS_TIMEOUT_MS) return undefined;
  return state === WitnessState.unreachable ? WriterState.silent : WriterState.gone;
}

/**
 * Finds what is known of the process that wrote an answer by a connection that was opened when an earlier one had ended
 * amid the answer: the process that had ended it may have been dying since. The operating system ends the connections of
 * such a process one after another, the newest first, and takes new ones until then, which it resets.
 *
 * @param endedAt - when the end of the answer was read
 * @returns undefined if it tells nothing
 * @example
 * judgeReopened({ state: "reset", since: 1001, openedAt: 950 }, 1000); // "gone"
 */
export function judgeReopened(seen: Witnessed, endedAt: Moment): WriterState | undefined {
  if (seen.state === WitnessState.open) return WriterState.untold;
  return seen.state === WitnessState.ended ? undefined : judgeWitness(seen, endedAt);
}
