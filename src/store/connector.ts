/**
 * Opens connections for undici with a timeout that holds to the millisecond: undici's own is rounded
 * up to about a second, which is all the time that some requests have.
 */
import { connect, type Socket } from "node:net";
import type { buildConnector } from "undici";

/** The code of the error where a connection did not stand in time; the same as undici's. */
const CONNECT_TIMEOUT = "UND_ERR_CONNECT_TIMEOUT";
/** After how long without traffic the other end of an open connection is probed, in milliseconds. */
const KEEP_ALIVE_PROBE_MS = 1000;

/** A connection that did not stand in time. */
export class ConnectTimeoutError extends Error {
  override readonly name = "ConnectTimeoutError";
  readonly code = CONNECT_TIMEOUT;
}

/** Opens a socket. */
export type SocketOpener = (host: string, port: number) => Socket;

const openSocket: SocketOpener = (host, port) =>
  connect({
    host,
    port,
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
  });

/**
 * Creates a connector.
 *
 * @param timeoutMs - how long a connection may take to stand
 * @param onSocket - hears of each connection that stands
 * @example
 * new Client("http://127.0.0.1:80", { connect: createConnector(250) });
 */
export function createConnector(
  timeoutMs: number,
  onSocket: (socket: Socket) => void = () => undefined,
  open: SocketOpener = openSocket,
): buildConnector.connector {
  return (options, callback) => {
    const socket = open(options.hostname, Number(options.port));
    const timer = setTimeout(() => {
      socket.destroy(new ConnectTimeoutError(`no connection within ${timeoutMs} ms`));
    }, timeoutMs);
    const onError = (error: Error) => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once("error", onError);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", onError);
      onSocket(socket);
      callback(null, socket);
    });
  };
}
