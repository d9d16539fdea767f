/**
 * Answers that are not passed on since they are not known to be whole, for the log and the metrics.
 */
import type { BodyEnd } from "../../core/bodyend";
import { ConnectionCutError } from "../../store/cut";

/** What is known of an answer whose head has arrived. */
export interface AnswerFacts {
  /** Id of the request; empty for a call of the router's own. */
  readonly request: string;
  readonly service: string;
  readonly endpoint: string;
  readonly status: number;
  /** True if the answer has a length, chunks or no body; one without ends with its connection. */
  readonly isFramed: boolean;
}

/** An answer whose connection was cut, with what showed it. */
export interface CutAnswer extends AnswerFacts {
  readonly end: BodyEnd;
  /** Bytes that arrived on the connection, those of earlier answers included. */
  readonly receivedBytes: number;
  readonly requestBytes: number;
  /** Bytes of the request that were not taken when the connection ended. */
  readonly untakenBytes: number;
  readonly error: string;
}

/**
 * Describes an answer whose body ended with an error; undefined unless its connection was cut.
 *
 * @example
 * body.once("error", (error) => report(describeCut(facts, error)));
 */
export function describeCut(facts: AnswerFacts, error: unknown): CutAnswer | undefined {
  if (!(error instanceof ConnectionCutError)) return undefined;
  return { ...facts, ...error.facts, error: error.message };
}
