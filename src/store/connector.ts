/**
 * Opens connections for undici with a connect timeout accurate to the millisecond: undici's own is
 * rounded up to about a second, which is the whole deadline of some requests.
 */
import type { Socket, SocketConstructorOpts } from "node:net";
import * as E from "fp-ts/Either";
import { buildConnector } from "undici";
import { ReadFirstTimer } from "../core/readfirst";
import { CheckedSocket } from "./checkedsocket";

/** Error code of a connect timeout; the same as undici's. */
const CONNECT_TIMEOUT_CODE = "UND_ERR_CONNECT_TIMEOUT";
/** Time without traffic after which TCP keep-alive probes an open connection. */
const KEEP_ALIVE_INITIAL_DELAY_MS = 1000;
/** The port of a URL that names none. */
const HTTP_PORT = 80;

/** A connection that was not established within the timeout. */
export class ConnectTimeoutError extends Error {
  override readonly name = "ConnectTimeoutError";
  readonly code = CONNECT_TIMEOUT_CODE;
}

/** Opens a TCP socket to a host and port. */
export type SocketOpener = (host: string, port: number) => Socket;

/**
 * Opens a TCP socket without delays for small writes, with probes of an idle connection, whose end is
 * checked.
 *
 * @example
 * openSocket("127.0.0.1", 80).once("connect", () => undefined);
 */
export const openSocket: SocketOpener = (host, port) => openCheckedSocket(host, port, {});

/**
 * Opens a TCP socket as `openSocket` does, whose directions end separately.
 *
 * @example
 * openHalfOpenSocket("127.0.0.1", 80).end("the last bytes of this side");
 */
export const openHalfOpenSocket: SocketOpener = (host, port) =>
  openCheckedSocket(host, port, { allowHalfOpen: true });

function openCheckedSocket(host: string, port: number, options: SocketConstructorOpts): Socket {
  return new CheckedSocket(options)
    .setNoDelay(true)
    .setKeepAlive(true, KEEP_ALIVE_INITIAL_DELAY_MS)
    .connect({ host, port });
}

/**
 * Opens a socket; one whose port or host cannot be connected to, for which Node.js throws, fails as a
 * connection that was not established.
 *
 * @example
 * tryOpenSocket(openSocket, "127.0.0.1", 99_999); // Left
 */
export function tryOpenSocket(
  open: SocketOpener,
  host: string,
  port: number,
): E.Either<Error, Socket> {
  return E.tryCatch(() => open(host, port), E.toError);
}

/**
 * Creates a connector for an undici client or agent.
 *
 * @param timeoutMs - time within which a connection must be established, in milliseconds
 * @param onSocket - called with the socket of each established connection
 * @param open - opens the sockets
 * @example
 * new Client("http://127.0.0.1:80", { connect: createConnector(250) });
 */
export function createConnector(
  timeoutMs: number,
  onSocket: (socket: Socket) => void = () => undefined,
  open: SocketOpener = openSocket,
): buildConnector.connector {
  const connectByTls = buildConnector({ timeout: timeoutMs });
  return (options, callback) => {
    if (options.protocol === "https:") {
      connectByTls(options, callback);
      return;
    }
    const socket = open(parseHostname(options.hostname), Number(options.port) || HTTP_PORT);
    const timer = new ReadFirstTimer(timeoutMs, () => {
      socket.destroy(new ConnectTimeoutError(`no connection within ${timeoutMs} ms`));
    });
    const onError = (error: Error) => {
      timer.close();
      callback(error, null);
    };
    socket.once("error", onError);
    socket.once("connect", () => {
      timer.close();
      socket.off("error", onError);
      onSocket(socket);
      callback(null, socket);
    });
  };
}

/** URLs have the addresses of IP version 6 in brackets. */
function parseHostname(hostname: string): string {
  return hostname.replace(/^\[(.*)\]$/, "$1");
}
