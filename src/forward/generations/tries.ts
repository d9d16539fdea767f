/**
 * How tries of a generation at engines end.
 */
import type { AnswerEnd, NotRunEvidence } from "../endpoints";
import { AbortCause, type DeadlineSignal, type BufferedResponse } from "../requests";

/** How a try at an engine ended. */
export const TryEnd = {
  complete: "complete",
  /** The engine did not run the generation. */
  notRun: "not run",
  /** The engine answered with an error status. */
  failed: "failed",
  /** The stream broke, went silent or never started. */
  broken: "broken",
  /** The run was given up, as the silent one that it was to replace went on or ended the stream. */
  withdrawn: "withdrawn",
  callerGone: "caller gone",
  /** The deadline passed while an engine was running the generation. */
  timeUp: "time up",
  /** Nothing was sent: the deadline has passed, or the retry budget is used up. */
  unsent: "unsent",
  /** Nothing was sent: the request or a part of its prompt crashes engines. */
  banned: "banned",
} as const;
export type TryEnd = (typeof TryEnd)[keyof typeof TryEnd];

/** The result of a try. */
export interface TryResult {
  readonly end: TryEnd;
  readonly message: string;
  readonly response?: BufferedResponse;
  /** What shows that it was not run; absent if nothing does, or nothing was sent to an engine. */
  readonly evidence?: NotRunEvidence;
  /** How the stream ended; absent unless it was taken for whole. */
  readonly answerEnd?: AnswerEnd;
  /** The peer over which the stream came; undefined for a direct connection. */
  readonly peer?: string | undefined;
}

/**
 * Creates the result of a try that the caller or the deadline ended; returns undefined if neither
 * did.
 *
 * @example
 * createAbortResult(deadlineSignal)?.end; // TryEnd.callerGone
 */
export function createAbortResult(deadlineSignal: DeadlineSignal): TryResult | undefined {
  if (deadlineSignal.cause === AbortCause.callerGone) {
    return { end: TryEnd.callerGone, message: "the caller has left" };
  }
  if (deadlineSignal.cause === AbortCause.timeUp) {
    return { end: TryEnd.timeUp, message: "the deadline has passed" };
  }
  return undefined;
}

/** Creates the result of a try that was aborted before its run was sent, as by {@link createAbortResult}. */
export function createUnsentAbortResult(deadlineSignal: DeadlineSignal): TryResult | undefined {
  const aborted = createAbortResult(deadlineSignal);
  return aborted?.end === TryEnd.timeUp ? { ...aborted, end: TryEnd.unsent } : aborted;
}

/**
 * Checks whether a try may have run the generation.
 *
 * @example
 * hasRun(TryEnd.broken); // true
 */
export function hasRun(end: TryEnd): boolean {
  return end !== TryEnd.notRun && end !== TryEnd.unsent && end !== TryEnd.banned;
}
