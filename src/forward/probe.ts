/**
 * Probes an endpoint by a new connection after a connection to it broke, and records crashes.
 */
import { connect } from "node:net";
import type { EndpointEntry } from "../fleet/directory";
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
 * Probes an endpoint whose connection broke during a request; if it is down, the request is
 * recorded as one that may have crashed it. An endpoint that asked for a pause is not probed.
 *
 * @example
 * await probeEndpoint(context, request, endpoint); // "up"
 */
export async function probeEndpoint(
  context: ForwardContext,
  request: ForwardRequest,
  endpoint: EndpointEntry,
): Promise<EndpointState> {
  if (context.gate.isPaused(endpoint.id)) return EndpointState.silent;
  const state = await probeAddress(endpoint.address);
  if (state !== EndpointState.down) return state;
  const { crashes, clock, logger } = context;
  const { fingerprint, head } = request;
  const process = createProcessId(endpoint);
  if (crashes.recordCrash({ fingerprint, process }, clock.now())) {
    logger.warn("crash", { request: head.id, endpoint: endpoint.id, process, fingerprint });
  }
  return state;
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
