/**
 * Answers of endpoints that are not passed on, as they are broken, for the log and the metrics.
 */
import type { Broken } from "../../store/brokenanswer";

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

/** A broken answer of an endpoint, with what showed it. */
export type BrokenAnswer = Broken<AnswerFacts>;
