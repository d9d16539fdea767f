/**
 * Decides whether a run may go on with a stream, by what its engine has said of the process that it is. A process that
 * answers after the head of a run's response came, and that was listed before the run was sent, has written that
 * response: a later process has another start, and an earlier one does not come back.
 */
import { ProcessState } from "../endpoints";

/** How long an engine that said before what it is has to say it again, in milliseconds. */
const REPEATED_CHECK_MS = 150;
/** How long one has that did not say so in time: its run is lost without an answer, in milliseconds. */
const FIRST_CHECK_MS = 1000;
/** The part of the time that is left for which a run may wait for an answer. */
const MAX_CHECK_SHARE = 0.5;

/** What is known of an engine's process at a run that goes on with a stream. */
export interface JoinEvidence {
  /** What the engine said before the run was sent. */
  readonly beforeSend: ProcessState;
  /** What it said once the head of the run's response had come. */
  readonly beforeJoin: ProcessState;
  /** True if the list names another process by then. */
  readonly isOtherListed: boolean;
}

/**
 * Checks whether the list has to tell which process an engine is, by a read that begins now.
 *
 * @example
 * needsList("untold"); // true
 */
export function needsList(state: ProcessState): boolean {
  return state === ProcessState.untold || state === ProcessState.silent;
}

/**
 * Computes how long an engine may take to say which process it is once the head of its run has come.
 *
 * @param beforeSend - what it said before the run was sent
 * @param leftMs - time left until the deadline of the request
 * @example
 * computeJoinCheckMs("silent", 5000); // 1000
 */
export function computeJoinCheckMs(beforeSend: ProcessState, leftMs: number): number {
  if (beforeSend !== ProcessState.silent) return REPEATED_CHECK_MS;
  return Math.min(FIRST_CHECK_MS, Math.max(REPEATED_CHECK_MS, leftMs * MAX_CHECK_SHARE));
}

/**
 * Checks whether the events of a run may follow those of the runs before it. An engine that does not
 * answer in time has said nothing new; one that never tells is what the list has.
 *
 * @example
 * mayJoin({ beforeSend: "same", beforeJoin: "other", isOtherListed: false }); // false
 */
export function mayJoin({ beforeSend, beforeJoin, isOtherListed }: JoinEvidence): boolean {
  if (beforeJoin === ProcessState.same) return beforeSend !== ProcessState.other;
  if (beforeJoin === ProcessState.other || isOtherListed) return false;
  return beforeSend === ProcessState.same || beforeSend === ProcessState.untold;
}
