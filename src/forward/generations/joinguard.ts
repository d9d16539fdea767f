/**
 * Decides whether a run may go on with a stream, by what its engine has said of the process that it is. A process that
 * answers after the head of a run's response came, and that was listed before the run was sent, has written that
 * response: a later process has another start, and an earlier one does not come back.
 */
import type { EndpointEntry } from "../../fleet/entries";
import { ProcessState } from "../endpoints";

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
 * Checks whether an engine is listed as another process than the one that a run was sent to. One that
 * is listed no more has left, and may still be the same.
 *
 * @example
 * isOtherProcess(engine, directory.find(engine.id));
 */
export function isOtherProcess(sent: EndpointEntry, listed: EndpointEntry | undefined): boolean {
  if (listed === undefined) return false;
  return listed.processStartedAt !== sent.processStartedAt || listed.version !== sent.version;
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
