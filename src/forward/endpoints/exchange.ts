/**
 * Decides whether an answer on a kept connection is to the exchange that waits for one. An endpoint
 * may send a second copy of an answer late, where the answer to the next exchange is due.
 */
import { type ResponseHead, Verdict } from "../requests";

/** What is known of a request and of the answer that arrived where its own is due. */
export interface ExchangeEvidence {
  /** Id of the request that was sent. */
  readonly requestId: string;
  /** Id of the request that the answer names; undefined if it names none. */
  readonly answeredId: string | undefined;
  /** True if the connection has carried no exchange before, so that no late copy can be on it. */
  readonly isFirst: boolean;
  /** True if its head was joined from two. */
  readonly isJoined: boolean;
  /** True if it says, or its status tells a caller, that the request was not run. */
  readonly isRefusal: boolean;
}

/** Statuses by which callers are told that their request was not run. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A status line within what should be one reason phrase or one value of a header. */
const INNER_STATUS_LINE_PATTERN = /HTTP\/1\.[01] \d{3}( |$)/;

/**
 * Checks whether a head was joined from one that was cut short and the whole one behind it: its status
 * and its first headers are then those of another answer than the id behind them. A status line behind
 * the id is only quoted.
 *
 * @param statusText - the reason phrase
 * @param headers - names and values, alternating
 * @param readId - reads the id of the request that headers name; undefined if they name none
 * @example
 * isJoinedHead("Full", ["date", "Sat, 05 DHTTP/1.1 200 OK", "x-id", "r7"], readId); // true
 */
export function isJoinedHead(
  statusText: string,
  headers: readonly string[],
  readId: (headers: readonly string[]) => string | undefined,
): boolean {
  const joint = [statusText, ...headers].findIndex((text) => INNER_STATUS_LINE_PATTERN.test(text));
  if (joint < 0) return false;
  return readId(headers) === undefined || readId(headers.slice(joint)) !== undefined;
}

/**
 * Checks whether an answer says that its request was not run.
 *
 * @example
 * isRefusal({ verdict: Verdict.notRun, status: 503, headers: [], load: undefined }); // true
 */
export function isRefusal({ verdict, status }: ResponseHead): boolean {
  if (verdict === Verdict.notRun || verdict === Verdict.misdirected) return true;
  return REFUSAL_STATUSES.has(status);
}

/**
 * Checks whether an answer is to the exchange that waits. One that names no request is so only on a
 * connection that has carried nothing else, and a refusal never: an endpoint may write an earlier one
 * as it accepts a connection.
 *
 * @example
 * isOwnAnswer({ ...evidence, requestId: "r7", answeredId: "r6" }); // false
 */
export function isOwnAnswer(evidence: ExchangeEvidence): boolean {
  const { requestId, answeredId, isFirst, isJoined, isRefusal: saysNotRun } = evidence;
  if (isJoined) return false;
  if (answeredId === undefined) return isFirst && !saysNotRun;
  return answeredId === requestId;
}
