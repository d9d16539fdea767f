/**
 * Groups sends and calls to endpoints by how long they usually take, and classifies their ends.
 */
import { SendEnding } from "../limits";
import { type EndpointCall, type EndpointRequest, SendTask } from "../requests";

const FULL_STATUS = 503;
const MIN_FAILURE_STATUS = 500;
const MISDIRECTED_STATUS = 421;

/** What the usual time of a send depends on. */
export interface SendKind {
  readonly kind: string;
  /** Number of units that the time grows with. */
  readonly size: number;
}

/**
 * Describes a request: those of a route take about the same time, prefills a time for each token.
 *
 * @example
 * describeSend(send).kind; // "run lookups"
 */
export function describeSend({ request, task, hold }: EndpointRequest): SendKind {
  const { route, head } = request;
  const tokens = head.size?.promptTokens ?? 0;
  const size = task === SendTask.prefill ? Math.max(1, tokens) : 1;
  const stage = hold === undefined ? "" : " on a hold";
  return { kind: `${task} ${route.name}${stage}`, size };
}

/**
 * Describes a call of the router's own.
 *
 * @example
 * describeCall(codec.createReleaseHoldCall(endpoint, "h7")).kind; // "call DELETE"
 */
export function describeCall({ method }: EndpointCall): SendKind {
  return { kind: `call ${method}`, size: 1 };
}

/**
 * Classifies an answer by its status.
 *
 * @example
 * readEnding(503); // "rejected"
 */
export function readEnding(status: number): SendEnding {
  if (status === FULL_STATUS) return SendEnding.rejected;
  if (status === MISDIRECTED_STATUS) return SendEnding.aborted;
  return status >= MIN_FAILURE_STATUS ? SendEnding.failed : SendEnding.answered;
}
