/**
 * Decides whether the end of a connection proves that a body which nothing else delimits is whole. A
 * length or chunks prove the end of a body by themselves; without them only the end of the connection
 * can, and an end without an error is no proof: Node.js reports a reset that comes with the last bytes
 * as a proper end. So the operating system is asked whether it still knows the other side, and an answer
 * that ended before its request was taken is not known to be whole.
 */
import type { Moment } from "./clock";
import { ConnectionEnder } from "./connectionender";

/** What the end of a connection says of a body that it delimits. */
export const BodyEnd = {
  whole: "whole",
  /** The other side has reset the connection; what was lost is not known. */
  reset: "reset",
  /** The connection ended before the request was taken. */
  untaken: "untaken",
  /** Not the endpoint has ended the connection, or nobody said that it did. */
  unasserted: "unasserted",
} as const;
export type BodyEnd = (typeof BodyEnd)[keyof typeof BodyEnd];

/**
 * Fewer bytes than this come with the head of their request, so that who answers has read them: it is
 * what servers read at once.
 */
const MIN_UPLOAD_BYTES = 16 * 1024;
/** How long ago bytes were sent that the other side may not have read yet, in milliseconds. */
const UNREAD_TIMEOUT_MS = 1000;
/** How long a reset may come behind the end of a connection, in milliseconds. */
const LATE_RESET_TIMEOUT_MS = 50;

/** What is known of a connection as the other side ends it. */
export interface EndedConnection {
  /** Bytes of the request that were written, or are about to be. */
  readonly requestBytes: number;
  /** Those of them that the operating system, or the peer that relays them, has not taken. */
  readonly untakenBytes: number;
  /** When the last of the others were taken. */
  readonly sentAt: Moment;
  readonly endedAt: Moment;
}

/**
 * Finds when to decide on an end: after a moment in which a late reset comes where an upload is under
 * way or just was, else at once.
 *
 * @example
 * findDecisionMoment({ requestBytes: 90, untakenBytes: 0, sentAt: 10, endedAt: 20 }); // 20
 */
export function findDecisionMoment(ended: EndedConnection): Moment {
  const { requestBytes, untakenBytes, sentAt, endedAt } = ended;
  const wasJustSent = requestBytes >= MIN_UPLOAD_BYTES && endedAt - sentAt < UNREAD_TIMEOUT_MS;
  return untakenBytes > 0 || wasJustSent ? endedAt + LATE_RESET_TIMEOUT_MS : endedAt;
}

/** What is known of a connection when its end is decided on. */
export interface EndEvidence {
  /** True while the operating system knows the other side; after a reset it doesn't. */
  readonly hasPeer: boolean;
  /** True if this side ended first: the other side is then forgotten after a proper end too. */
  readonly isClosedHere: boolean;
  readonly untakenBytes: number;
  readonly endedBy: ConnectionEnder;
}

/**
 * Classifies what the end of a connection says of a body that it delimits.
 *
 * @example
 * classifyBodyEnd({ hasPeer: false, isClosedHere: false, untakenBytes: 0, endedBy: "endpoint" }); // "reset"
 */
export function classifyBodyEnd(evidence: EndEvidence): BodyEnd {
  const { hasPeer, isClosedHere, untakenBytes, endedBy } = evidence;
  if (endedBy !== ConnectionEnder.endpoint) return BodyEnd.unasserted;
  if (!hasPeer && !isClosedHere) return BodyEnd.reset;
  return untakenBytes > 0 ? BodyEnd.untaken : BodyEnd.whole;
}
