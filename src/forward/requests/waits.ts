/**
 * What a request waits for, so that one that is never answered can say where it was left.
 */

/** The stages of a request in which it waits for something. */
export const RequestStage = {
  /** For the decision on its charge. */
  admission: "admission",
  /** For the origin of a stream that its caller takes up. */
  resume: "resume",
  /** For memory at a decode engine. */
  reservation: "reservation",
  /** For a prefill engine to read its prompt. */
  prefill: "prefill",
  /** For the head of a decode engine's response. */
  head: "head",
  /** For the events of a stream. */
  stream: "stream",
  /** For the answer of an endpoint of a plain service. */
  service: "service",
} as const;
export type RequestStage = (typeof RequestStage)[keyof typeof RequestStage];

/** Told which stage a request has reached. */
export interface StageRecorder {
  enter(stage: RequestStage): void;
}
