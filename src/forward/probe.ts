/**
 * Finds out whether an endpoint crashed when a connection to it broke.
 */
import { connect } from "node:net";
import type { EndpointEntry } from "../fleet/directory";
import type { ForwardContext } from "./context";
import type { ForwardRequest } from "./exchange";

/** How long a connection may take to stand before the endpoint counts as cut off, in milliseconds. */
const PROBE_MS = 400;

/** Names the process of an endpoint: one that started again is another. */
export function nameProcess(endpoint: EndpointEntry): string {
  return `${endpoint.id}@${endpoint.bornAt}`;
}

/**
 * Notes a crash where nothing listens any more at an endpoint that broke off a request.
 *
 * @example
 * await confirmCrash(context, request, endpoint);
 */
export async function confirmCrash(
  context: ForwardContext,
  request: ForwardRequest,
  endpoint: EndpointEntry,
): Promise<void> {
  if (!(await isDown(endpoint.address))) return;
  const { crashes, clock, logger } = context;
  const { fingerprint, head } = request;
  const process = nameProcess(endpoint);
  if (!crashes.note({ fingerprint, process }, clock.now())) return;
  logger.warn("crash", { request: head.id, endpoint: endpoint.id, process, fingerprint });
}

/** True where the machine answers that nothing listens; a cut machine answers nothing. */
function isDown(address: string): Promise<boolean> {
  const [host = "", port = ""] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port), timeout: PROBE_MS });
    const finish = (down: boolean) => {
      socket.destroy();
      resolve(down);
    };
    socket.once("connect", () => {
      finish(false);
    });
    socket.once("timeout", () => {
      finish(false);
    });
    socket.once("error", (error: NodeJS.ErrnoException) => {
      finish(error.code === "ECONNREFUSED");
    });
  });
}
