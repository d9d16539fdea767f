/**
 * Finds out what became of an endpoint when a connection to it broke.
 */
import { connect } from "node:net";
import type { EndpointEntry } from "../fleet/directory";
import type { ForwardContext } from "./context";
import type { ForwardRequest } from "./messages";

/** How long a connection may take to stand before the endpoint counts as cut off, in milliseconds. */
const PROBE_TIMEOUT_MS = 250;

/** What a new connection tells of an endpoint. */
export const EndpointState = {
  /** It takes connections. */
  up: "up",
  /** Its machine answers that nothing listens. */
  down: "down",
  /** Nothing comes back. */
  silent: "silent",
} as const;
export type EndpointState = (typeof EndpointState)[keyof typeof EndpointState];

/** Names the process of an endpoint: one that started again is another. */
export function nameProcess(endpoint: EndpointEntry): string {
  return `${endpoint.id}@${endpoint.processStartedAt}`;
}

/**
 * Finds the state of an endpoint that broke off a request; where it is down, the request is noted as
 * one that may have crashed it.
 *
 * @example
 * await probeEndpoint(context, request, endpoint); // "up"
 */
export async function probeEndpoint(
  context: ForwardContext,
  request: ForwardRequest,
  endpoint: EndpointEntry,
): Promise<EndpointState> {
  const state = await probeAddress(endpoint.address);
  if (state !== EndpointState.down) return state;
  const { crashes, clock, logger } = context;
  const { fingerprint, head } = request;
  const process = nameProcess(endpoint);
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
