/**
 * Answers that are not passed on since they are not known to be whole, for the log and the metrics.
 */
import type { Cut } from "../../store/cut";

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
export type CutAnswer = Cut<AnswerFacts>;
