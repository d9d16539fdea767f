/**
 * Probes an endpoint by a new connection after a connection to it broke, and records crashes.
 */
import { connect } from "node:net";
import type { Suspect } from "../core/suspects";
import type { EndpointEntry } from "../fleet/entries";
import type { ForwardContext } from "./context";
import type { ForwardRequest } from "./messages";

/** Timeout of the connection, in milliseconds; after it the endpoint counts as silent. */
const PROBE_TIMEOUT_MS = 250;

/** The state of an endpoint as a new connection shows it. */
export const EndpointState = {
  /** The endpoint accepts connections. */
  up: "up",
  /** The machine refuses the connection: nothing listens. */
  down: "down",
  /** The connection is neither accepted nor refused. */
  silent: "silent",
} as const;
export type EndpointState = (typeof EndpointState)[keyof typeof EndpointState];

/** Creates the id of an endpoint's process; a restarted endpoint gets another one. */
export function createProcessId(endpoint: EndpointEntry): string {
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
 * pause is not probed.
 *
 * @example
 * await probeEndpoint(context, request, endpoint, true); // "up"
 */
export async function probeEndpoint(
  context: ForwardContext,
  request: ForwardRequest,
  endpoint: EndpointEntry,
  isSuspect: boolean,
): Promise<EndpointState> {
  if (context.gate.isPaused(endpoint.id)) return EndpointState.silent;
  const state = await probeAddress(endpoint.address);
  if (state === EndpointState.down) recordCrash(context, request, endpoint, isSuspect);
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

function probeAddress(address: string): Promise<EndpointState> {
  const [host = "", port = ""] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port), timeout: PROBE_TIMEOUT_MS });
    const finish = (state: EndpointState) => {
      socket.destroy();
      resolve(state);
    };
    socket.once("connect", () => {
      finish(EndpointState.up);
    });
    socket.once("timeout", () => {
      finish(EndpointState.silent);
    });
    socket.once("error", (error: NodeJS.ErrnoException) => {
      finish(error.code === "ECONNREFUSED" ? EndpointState.down : EndpointState.silent);
    });
  });
}
