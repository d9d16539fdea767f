/**
 * One kept connection to an endpoint, by an undici client of its own, so that it is known of each
 * answer which socket brought it and how that socket ended.
 */
import type { Socket } from "node:net";
import { Client } from "undici";
import type { Moment } from "../core/clock";
import { createConnector } from "../store/connector";

/** How long a connection may take to stand, in milliseconds; far more than a round trip. */
const CONNECT_TIMEOUT_MS = 250;
/** How long a connection stays open unused where the endpoint names no time, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 400;
/** The longest that a connection stays open unused, in milliseconds: an old one may be silent. */
const MAX_IDLE_TIMEOUT_MS = 4000;
/** How much sooner than the endpoint would a connection is closed, in milliseconds. */
const IDLE_MARGIN_MS = 700;
/** The largest answer, in bytes. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** A connection that takes one request at a time. */
export class Connection {
  readonly client: Client;
  /** When it was last given back. */
  idleSince: Moment = 0;
  private socket: Socket | undefined;
  private hasError = false;

  constructor(address: string) {
    this.client = new Client(`http://${address}`, {
      connect: createConnector(CONNECT_TIMEOUT_MS, (socket) => {
        this.trackSocket(socket);
      }),
      pipelining: 1,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
  }

  /**
   * True where the operating system reported a failure of the socket. The client takes an answer without a length as whole also when
   * the connection was reset; this tells the two apart.
   */
  get isBroken(): boolean {
    return this.hasError;
  }

  /** True while the socket stands and has not failed, so that a request can go out on it. */
  get isAlive(): boolean {
    const { socket } = this;
    return socket !== undefined && !socket.destroyed && socket.writable && !this.hasError;
  }

  /** Closes it, with whatever is under way. */
  close(): void {
    void this.client.destroy().catch(() => undefined);
  }

  private trackSocket(socket: Socket): void {
    this.socket = socket;
    socket.prependOnceListener("error", (error: NodeJS.ErrnoException) => {
      // The client ends a socket that it has no more use for by an error of its own.
      if (error.errno !== undefined) this.hasError = true;
    });
  }
}
