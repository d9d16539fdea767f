/**
 * Decides who asserted the end of an answer: silence is never an end, and nobody asserts the end of what another one
 * writes. Who writes an answer asserts its end by a length or chunks. Without them only the end of its connection can
 * tell, and only where the endpoint's own machine ended it and the process that was asked is there after it: of a
 * process that dies the operating system ends the connections like one that has finished. All readers of answers ask
 * here; an end that nobody asserted breaks the answer off.
 */
import { ConnectionEnder } from "./connectionender";

/** What is known, after the end of a connection, of the process that wrote on it. */
export const WriterState = {
  /** It has answered since the end, so that it did not die by it. */
  alive: "alive",
  /** Another process has taken its place. */
  replaced: "replaced",
  /** Nothing listens there any more, or that can't be confirmed. */
  gone: "gone",
  /** Something takes connections there that does not tell which process it is, and no other one is listed. */
  untold: "untold",
  /** It does not answer in time. */
  silent: "silent",
  /** It was not asked, as nothing depends on it. */
  unasked: "unasked",
} as const;
export type WriterState = (typeof WriterState)[keyof typeof WriterState];

/** What shows that an answer is whole. */
export const EndProof = {
  /** Its length or its chunks. */
  framing: "framing",
  /** Its writer ended the connection, and has answered since. */
  writer: "writer",
  /** Its writer's machine ended the connection, and something still takes connections there. */
  untold: "untold writer",
} as const;
export type EndProof = (typeof EndProof)[keyof typeof EndProof];

/** What is known of the end of an answer that ended without an error. */
export interface EndEvidence {
  /** True if a length, chunks or the status delimit the answer. */
  readonly isFramed: boolean;
  /** Who ended its connection. */
  readonly endedBy: ConnectionEnder;
  readonly writer: WriterState;
}

/**
 * Finds what shows that an answer is whole whose bytes ended without an error.
 *
 * @returns undefined if nobody asserted the end
 * @example
 * findEndProof({ isFramed: false, endedBy: "endpoint", writer: "replaced" }); // undefined
 */
export function findEndProof({ isFramed, endedBy, writer }: EndEvidence): EndProof | undefined {
  if (isFramed) return EndProof.framing;
  if (endedBy !== ConnectionEnder.endpoint) return undefined;
  if (writer === WriterState.alive) return EndProof.writer;
  return writer === WriterState.untold ? EndProof.untold : undefined;
}
