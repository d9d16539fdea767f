/**
 * Decides what shows the end of an answer to its caller. The end of the connection never does: the operating system
 * ends the connections of a process that dies like those of one that has finished, so that what this process had not
 * written yet would look complete.
 */

/** What shows the end of an answer to its caller. */
export const CallerFraming = {
  length: "length",
  chunks: "chunks",
  /** The head alone, as no body follows it. */
  head: "head",
  /** A length, once all of a stream is there: its caller knows no chunks. */
  collected: "collected",
} as const;
export type CallerFraming = (typeof CallerFraming)[keyof typeof CallerFraming];

/** What is known of an answer as its head is there. */
export interface FramedAnswer {
  /** Method of the request. */
  readonly method: string;
  readonly status: number;
  /** True if all of the body is there. */
  readonly isWhole: boolean;
  /** Protocol of the request, as the caller's HTTP/1.1 is 1 and 1. */
  readonly versionMajor: number;
  readonly versionMinor: number;
}

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Decides what shows the end of an answer.
 *
 * @example
 * decideFraming({ method: "GET", status: 200, isWhole: false, versionMajor: 1, versionMinor: 0 }); // "collected"
 */
export function decideFraming(answer: FramedAnswer): CallerFraming {
  const { method, status, isWhole, versionMajor, versionMinor } = answer;
  const hasBody = method !== "HEAD" && status !== NO_CONTENT && status !== NOT_MODIFIED;
  if (!hasBody) return CallerFraming.head;
  if (isWhole) return CallerFraming.length;
  const hasChunks = versionMajor === 1 && versionMinor >= 1;
  return hasChunks ? CallerFraming.chunks : CallerFraming.collected;
}
