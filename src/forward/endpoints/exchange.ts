/**
 * Decides whether an answer on a kept connection is to the exchange that waits for one. An endpoint
 * may send a second copy of an answer late, where the answer to the next exchange is due.
 */

/** What is known of a request and of the answer that arrived where its own is due. */
export interface ExchangeEvidence {
  /** Id of the request that was sent. */
  readonly requestId: string;
  /** Id of the request that the answer names; undefined if it names none. */
  readonly answeredId: string | undefined;
  /** True if the connection has carried no exchange before, so that no late copy can be on it. */
  readonly isFirst: boolean;
}

/**
 * Checks whether an answer is to the exchange that waits. One that names no request is so only on a
 * connection that has carried nothing else.
 *
 * @example
 * isOwnAnswer({ requestId: "r7", answeredId: "r6", isFirst: false }); // false
 */
export function isOwnAnswer({ requestId, answeredId, isFirst }: ExchangeEvidence): boolean {
  if (answeredId === undefined) return isFirst;
  return answeredId === requestId;
}
