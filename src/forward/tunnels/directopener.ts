/**
 * Opens direct TCP connections to endpoints.
 */
import type { Socket } from "node:net";
import * as E from "fp-ts/Either";
import {
  ConnectTimeoutError,
  openSocket,
  type SocketOpener,
  tryOpenSocket,
} from "../../store/connector";
import type { EndpointSocket } from "./openers";

/** Opens direct connections to addresses. */
export interface DirectOpener {
  /** Opens a connection; resolves with the error if there is none within the timeout. */
  open(address: string, timeoutMs: number): Promise<E.Either<Error, EndpointSocket>>;
}

/** Opens direct connections over TCP. */
export class TcpOpener implements DirectOpener {
  constructor(private readonly openTcp: SocketOpener = openSocket) {}

  open(address: string, timeoutMs: number): Promise<E.Either<Error, EndpointSocket>> {
    const [host = "", port = ""] = address.split(":");
    const opened = tryOpenSocket(this.openTcp, host, Number(port));
    if (E.isLeft(opened)) return Promise.resolve(opened);
    const socket = opened.right;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        // After a pause of this process, an established connection is reported behind the timer.
        setImmediate(() => {
          abortConnect(socket, timeoutMs);
        });
      }, timeoutMs);
      // The listener stays, as the connection may fail before its user adds one.
      socket.on("error", (error) => {
        clearTimeout(timer);
        resolve(E.left(error));
      });
      socket.once("connect", () => {
        clearTimeout(timer);
        resolve(E.right(socket));
      });
    });
  }
}

function abortConnect(socket: Socket, timeoutMs: number): void {
  if (!socket.connecting) return;
  socket.destroy(new ConnectTimeoutError(`no connection within ${timeoutMs} ms`));
}
