/**
 * Probes an endpoint by a new connection after a connection to it broke, and records crashes.
 */
import type { Suspect } from "../../core/crashes/suspects";
import type { EndpointEntry } from "../../fleet/entries";
import type { ForwardContext } from "./context";
import { ConnectState } from "../tunnels";
import type { ForwardRequest } from "../requests";

/** The state of an endpoint as a new connection shows it. */
export const EndpointState = {
  /** The endpoint accepts connections. */
  up: "up",
  /** It refuses connections of instances that reach others, of peers too if there are any. */
  down: "down",
  /** It refuses connections of this instance, which may be cut off. */
  unconfirmed: "unconfirmed",
  /** The connection is neither accepted nor refused. */
  silent: "silent",
} as const;
export type EndpointState = (typeof EndpointState)[keyof typeof EndpointState];

/** What the outcome of a connect, directly or over a peer, says of an endpoint. */
const STATES = {
  [ConnectState.up]: EndpointState.up,
  [ConnectState.refused]: EndpointState.down,
  [ConnectState.unconfirmed]: EndpointState.unconfirmed,
  [ConnectState.unreachable]: EndpointState.silent,
} as const;

/** Creates the id of an endpoint's process; a restarted endpoint gets another one. */
export function createProcessId(endpoint: Pick<EndpointEntry, "id" | "processStartedAt">): string {
  return `${endpoint.id}@${endpoint.processStartedAt}`;
}

/**
 * Creates what the crash tracker knows a request by.
 *
 * @example
 * crashes.findBan(createSuspect(request), clock.now());
 */
export function createSuspect({ fingerprint, head }: ForwardRequest): Suspect {
  return { fingerprint, parts: head.promptParts };
}

/**
 * Probes an endpoint whose connection broke during a request; if it is down and the request is a
 * suspect, the request is recorded as one that may have crashed it. An endpoint that asked for a
 * pause is not probed, unless it is to be known whether its answer has ended.
 *
 * @example
 * await probeEndpoint(context, request, endpoint, true); // "up"
 */
export async function probeEndpoint(
  context: ForwardContext,
  request: ForwardRequest,
  endpoint: EndpointEntry,
  isSuspect: boolean,
  isEndCheck = false,
): Promise<EndpointState> {
  if (!isEndCheck && context.gate.isPaused(endpoint.id)) return EndpointState.silent;
  const state = STATES[await context.dialer.probe(endpoint)];
  if (state === EndpointState.down) recordCrash(context, request, endpoint, isSuspect);
  if (state === EndpointState.unconfirmed) {
    const fields = { request: request.head.id, endpoint: endpoint.id };
    context.logger.warn("crash not confirmed", fields);
  }
  return state;
}

function recordCrash(
  { crashes, announcer, clock, logger }: ForwardContext,
  request: ForwardRequest,
  endpoint: EndpointEntry,
  isSuspect: boolean,
): void {
  const suspect = createSuspect(request);
  const process = createProcessId(endpoint);
  logger.warn("crash", {
    request: request.head.id,
    endpoint: endpoint.id,
    process,
    isSuspect,
    fingerprint: suspect.fingerprint,
    parts: suspect.parts,
  });
  const suspects = isSuspect ? [suspect] : [];
  if (crashes.recordCrash({ process, suspects }, clock.now())) announcer.report();
}
