/**
 * Decides by a second connection to a service whether the process that wrote an answer has died by its end. The
 * operating system ends all connections of a process that dies, so that one that was open before the end of the answer,
 * and still is a moment after it, shows that the process lives on.
 */
import { WriterState } from "./assertedend";
import type { Moment } from "./clock";

/** How far apart the ends of two connections of a process that dies may be, in milliseconds. */
export const WITNESS_TIMEOUT_MS = 25;

/** What became of a connection that witnesses an answer. */
export const WitnessState = {
  open: "open",
  /** It was open, and the other side ended or reset it. */
  ended: "ended",
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
}

/**
 * Finds what is known of the process that wrote an answer.
 *
 * @param endedAt - when the answer ended
 * @returns undefined if the connection failed or ended long before the answer, which has gone on since
 * @example
 * judgeWitness({ state: "ended", since: 1004 }, 1000); // "gone"
 */
export function judgeWitness(
  { state, since }: Witnessed,
  endedAt: Moment,
): WriterState | undefined {
  if (state === WitnessState.open) return since <= endedAt ? WriterState.alive : WriterState.untold;
  if (since < endedAt - WITNESS_TIMEOUT_MS) return undefined;
  return state === WitnessState.unreachable ? WriterState.silent : WriterState.gone;
}
